//! Which other nodes answered lately: a node's evidence that it is in touch, and that another node
//! does not grant.

use std::collections::VecDeque;
use std::time::Duration;

use rhubarblanding_core::prelude::*;

/// Age up to which an outcome is evidence that a node doesn't grant.
const EVIDENCE_LIFE: Duration = Duration::from_millis(700);
/// Age from which a deputy in use renews its evidence, so that it is never without.
const EVIDENCE_RENEW: Duration = Duration::from_millis(300);
/// Messages without an answer after which a node counts as silent for its deputies.
const SILENCES_MIN: u32 = 3;
/// Time for which a silent node is not asked again; those whose home it is ask a deputy.
pub(super) const SILENCE: Duration = Duration::from_millis(800);
/// Time over which samples tell whether a node is in touch. Shorter, chance would decide; longer,
/// answers from before a cut would hide it.
const TOUCH_WINDOW: Duration = Duration::from_millis(600);
/// Silent samples below which a node is never out of touch: a fleet of two survives the loss of one.
const SILENT_MIN: usize = 3;
/// Time for which one silence makes a node look more closely.
const DOUBT_TIME: Duration = Duration::from_millis(1_000);

/// Outcome of the last message to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It answered that it grants.
    Granting,
    /// It answered that it does not grant.
    Idle,
    /// Its host answered that no node runs there.
    Gone,
    /// It did not answer.
    Silent,
}

#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    answered: Option<(MonoTime, Outcome)>,
    silent_at: Option<MonoTime>,
    /// Messages without an answer since the last answer.
    silences: u32,
}

impl Contact {
    fn latest_at(&self) -> MonoTime {
        let answered_at = self.answered.map(|(at, _)| at);
        answered_at.max(self.silent_at).unwrap_or_default()
    }
}

/// Latest outcomes by node, and samples of nodes drawn without regard to earlier outcomes. Only these
/// tell whether a node is in touch: its other messages go to nodes that answer.
#[derive(Clone, Debug, Default)]
pub struct Contacts {
    latest: HashMap<HostId, Contact>,
    samples: VecDeque<(MonoTime, bool)>,
    silent_at: Option<MonoTime>,
}

impl Contacts {
    /// Records the outcome of a message to `host`.
    pub fn record(&mut self, now: MonoTime, host: HostId, outcome: Outcome) {
        let contact = self.latest.entry(host).or_default();
        if outcome == Outcome::Silent {
            self.silent_at = Some(now);
            contact.silent_at = Some(now);
            contact.silences += 1;
        } else {
            contact.answered = Some((now, outcome));
            contact.silences = 0;
        }
    }

    /// Forgets nodes that are no longer members.
    pub fn retain(&mut self, members: &[HostId]) {
        self.latest.retain(|host, _| members.contains(host));
    }

    /// Forgets everything, as after a pause of the process.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns what is known of `host`, if that is recent enough to act on. One lost message is no
    /// evidence.
    pub fn evidence(&self, now: MonoTime, host: HostId) -> Option<Outcome> {
        let contact = self.latest.get(&host)?;
        if contact.silences >= SILENCES_MIN {
            let at = contact.silent_at?;
            return (now.since(at) <= EVIDENCE_LIFE).then_some(Outcome::Silent);
        }
        let (at, outcome) = contact.answered?;
        (now.since(at) <= EVIDENCE_LIFE).then_some(outcome)
    }

    /// Returns `true` if evidence about `host` must be renewed.
    pub fn is_due(&self, now: MonoTime, host: HostId) -> bool {
        self.latest.get(&host).is_none_or(|contact| {
            let is_doubtful = (1..SILENCES_MIN).contains(&contact.silences);
            is_doubtful || now.since(contact.latest_at()) >= EVIDENCE_RENEW
        })
    }

    /// Returns `true` if `host` should not be asked, as it was silent a moment ago.
    pub fn is_silent(&self, now: MonoTime, host: HostId) -> bool {
        self.latest.get(&host).is_some_and(|contact| {
            let is_recent = |at| now.since(at) < SILENCE;
            let is_gone = matches!(contact.answered, Some((at, Outcome::Gone)) if is_recent(at));
            is_gone || (contact.silences > 0 && contact.silent_at.is_some_and(is_recent))
        })
    }

    /// Records the outcome of a message to a node that was drawn at random.
    pub fn record_sample(&mut self, now: MonoTime, outcome: Outcome) {
        self.samples.push_back((now, outcome != Outcome::Silent));
        let is_old = |(at, _): &(MonoTime, bool)| now.since(*at) > TOUCH_WINDOW;
        while self.samples.front().is_some_and(is_old) {
            self.samples.pop_front();
        }
    }

    /// Returns `true` if a message was lost lately, so that more samples are needed.
    pub fn is_doubtful(&self, now: MonoTime) -> bool {
        self.silent_at.is_some_and(|at| now.since(at) <= DOUBT_TIME)
    }

    /// Returns the numbers of samples that answered and that were silent lately.
    pub fn counts(&self, now: MonoTime) -> (usize, usize) {
        let recent = self.samples.iter();
        let recent = recent.filter(|(at, _)| now.since(*at) <= TOUCH_WINDOW);
        recent.fold(
            (0, 0),
            |(answered, silent), (_, has_answered)| match has_answered {
                true => (answered + 1, silent),
                false => (answered, silent + 1),
            },
        )
    }

    /// Returns `true` unless most nodes that were sampled lately were silent.
    pub fn in_touch(&self, now: MonoTime) -> bool {
        let (answered, silent) = self.counts(now);
        silent < SILENT_MIN || answered >= silent
    }
}
