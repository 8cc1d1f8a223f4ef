//! Evidence that the version of the configuration by which a request is handled may have been in force
//! when the request was sent.

use std::sync::Arc;
use std::time::Duration;

use rhubarblanding_core::prelude::*;

use super::shared::Shared;
use crate::version::Version;

/// Longest wait for an answer that renews the evidence: several questions to other nodes, and a call of
/// the key-value service that is not slow.
const RENEWAL_WAIT: Duration = Duration::from_millis(400);
/// Time for which an answer that did not renew the evidence makes another question useless.
const ANSWER_SPAN: Duration = Duration::from_millis(300);

/// A version, and the time before which no newer one was in force.
///
/// What a version allows is decided when a request arrives and used later: the process may have been
/// suspended before or in between, or may hear nobody.
#[derive(Clone, Copy, Debug)]
pub struct Evidence {
    version: DocVersion,
    known_at: Option<MonoTime>,
}

impl Evidence {
    /// Returns the active version, with what is known of it now.
    pub fn of_active(node: &Shared) -> Option<(Arc<Version>, Self)> {
        // In this order, as the time may be that of a version that is adopted in between.
        let known_at = node.freshness.known_at();
        let active = node.version()?;
        let version = active.number();
        Some((active, Self { version, known_at }))
    }

    /// Returns the number of the version.
    pub fn version(&self) -> DocVersion {
        self.version
    }

    /// Returns the time before which no version newer than this one was in force. It grows for as long
    /// as the version is active.
    pub fn known_at(&self, node: &Shared) -> Option<MonoTime> {
        // In this order, for the same reason.
        let renewed = node.freshness.known_at();
        match self.is_active(node) {
            true => self.known_at.max(renewed),
            false => self.known_at,
        }
    }

    /// Returns `true` if the version may have been in force when a request was sent that arrived at
    /// `arrived`. Waits for others to confirm it, as long as that can be expected.
    pub async fn covers(&self, node: &Shared, arrived: MonoTime) -> bool {
        if self.covers_now(node, arrived) {
            return true;
        }
        let began = node.clock.now();
        let mut renewals = node.freshness.watch_renewals();
        let mut versions = node.watch_version();
        node.freshness.hasten();
        let limit = tokio::time::sleep(RENEWAL_WAIT);
        tokio::pin!(limit);
        loop {
            if self.covers_now(node, arrived) {
                return true;
            }
            let answered_at = node.freshness.heard_at();
            let is_answered = answered_at.is_some_and(|at| at + ANSWER_SPAN > began);
            if is_answered || !self.is_active(node) {
                return false;
            }
            tokio::select! {
                // The senders exist as long as this node.
                _ = renewals.changed() => {}
                _ = versions.changed() => {}
                () = &mut limit => return false,
            }
        }
    }

    /// A version is in force for the time of its adoption after the next one was acknowledged. What
    /// arrived at `arrived` was sent before.
    fn covers_now(&self, node: &Shared, arrived: MonoTime) -> bool {
        let adoption = node.settings().accounts.adoption;
        let known_at = self.known_at(node);
        known_at.is_some_and(|at| arrived.since(at) <= adoption)
    }

    fn is_active(&self, node: &Shared) -> bool {
        let active = node.version();
        active.is_some_and(|active| active.number() == self.version)
    }
}
