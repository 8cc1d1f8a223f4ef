//! Contents of requests that were completed lately.

use std::time::Duration;

use rhubarblanding_core::prelude::*;

use super::Fingerprint;

/// Time after which a generation is replaced: a completion is remembered for once to twice this time.
const GENERATION_TIME: Duration = Duration::from_secs(60);
/// Maximum number of fingerprints in a generation. A node at 200 requests a second, all different,
/// fills one in 80 s.
const GENERATION_MAX: usize = 16_384;

/// Fingerprints of the requests that one backend server completed lately.
///
/// Their content does not crash it: what ran among it at a crash is no suspect.
#[derive(Clone, Debug, Default)]
pub struct CompletedRequests {
    current: HashSet<Fingerprint>,
    previous: HashSet<Fingerprint>,
    began_at: MonoTime,
}

impl CompletedRequests {
    /// Records that a request was completed.
    pub fn record(&mut self, now: MonoTime, fingerprint: Fingerprint) {
        self.advance(now);
        if self.current.len() >= GENERATION_MAX {
            self.rotate(now);
        }
        self.current.insert(fingerprint);
    }

    /// Returns `true` if a request with this content was completed lately.
    pub fn contains(&mut self, now: MonoTime, fingerprint: Fingerprint) -> bool {
        self.advance(now);
        self.current.contains(&fingerprint) || self.previous.contains(&fingerprint)
    }

    /// Returns the number of fingerprints.
    pub fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    /// Returns `true` if there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn advance(&mut self, now: MonoTime) {
        let age = now.since(self.began_at);
        if age >= GENERATION_TIME * 2 {
            self.current.clear();
        }
        if age >= GENERATION_TIME {
            self.rotate(now);
        }
    }

    fn rotate(&mut self, now: MonoTime) {
        self.previous = std::mem::take(&mut self.current);
        self.began_at = now;
    }
}
