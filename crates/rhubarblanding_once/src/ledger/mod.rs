//! A node's at-most-once state for the service of its backend server.

mod active;
mod decide;
mod io;
mod outcome;
mod record;
mod settings;
mod table;
mod vote;

use rhubarblanding_core::error::{ErrorKind, Refusal, RetryAdvice};
use rhubarblanding_core::time::{MonoTime, UnixMillis};
use rhubarblanding_core::timer::TimerService;
use slotmap::SlotMap;

use crate::message::{Envelope, PeerMessage, RunId};
use crate::table::{Adoption, HomeTable, Member};
use crate::time::Now;
use active::{Attempt, Timer};
use outcome::Unacknowledged;
use record::{AttemptKey, Record, Records, State};

pub use io::{AttemptRequest, CallerId, Input, Outcome, Output, Role};
pub use settings::LedgerSettings;

/// Records and running requests of one node for one service.
///
/// Pass inputs to [`Ledger::handle`] and carry out the outputs in order. Call it with
/// [`Input::Tick`] when [`Ledger::next_due`] is reached and at least every few seconds, so that old
/// records expire. Give it each newer table with [`Ledger::adopt`].
#[derive(Clone, Debug)]
pub struct Ledger {
    me: Member,
    settings: LedgerSettings,
    table: Option<HomeTable>,
    /// Result of adopting the table: `Adopted` is a promise about the epoch that it proposes.
    adoption: Adoption,
    /// Latest mint time of the keys that the node took part in running.
    latest_mint: UnixMillis,
    records: Records,
    attempts: SlotMap<AttemptKey, Attempt>,
    unacknowledged: Unacknowledged,
    timers: TimerService<Timer>,
    next_run: RunId,
}

impl Ledger {
    /// Creates an empty ledger for one incarnation of a node.
    pub fn new(me: Member, settings: LedgerSettings) -> Self {
        Self {
            me,
            settings,
            table: None,
            adoption: Adoption::Adopted,
            latest_mint: UnixMillis::default(),
            records: Records::new(settings.max_kept_bytes),
            attempts: SlotMap::with_key(),
            unacknowledged: Unacknowledged::default(),
            timers: TimerService::new(),
            next_run: RunId(1),
        }
    }

    /// Returns the node that the ledger belongs to.
    pub fn member(&self) -> &Member {
        &self.me
    }

    /// Returns the active table.
    pub fn table(&self) -> Option<&HomeTable> {
        self.table.as_ref()
    }

    /// Returns the number of records.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Returns the number of attempts in progress at this node.
    pub fn active_count(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the mint time up to which keys without a record are refused.
    pub fn horizon(&self) -> Option<UnixMillis> {
        self.records.horizon()
    }

    /// Returns the time at which [`Input::Tick`] is due.
    pub fn next_due(&self) -> Option<MonoTime> {
        self.timers.next_due()
    }

    /// Handles one input and returns the actions to carry out.
    pub fn handle(&mut self, now: Now, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.expire_timers(now, &mut out);
        match input {
            Input::Attempt(req) => self.on_attempt(now, req, &mut out),
            Input::CallerDisconnected { caller, key } => self.on_disconnect(caller, key, &mut out),
            Input::Outcome { key, run, outcome } => {
                self.on_outcome(now, key, run, outcome, &mut out);
            }
            Input::Peer(envelope) => self.on_peer(now, envelope, &mut out),
            Input::Unreachable(member) => self.on_unreachable(member, &mut out),
            Input::Tick => self.records.evict_expired(self.expired_before(now)),
        }
        out
    }

    fn on_attempt(&mut self, now: Now, req: AttemptRequest, out: &mut Vec<Output>) {
        match self.records.get(req.key) {
            Some(record) if self.settings.safeguards.arbiter || record.vote().is_none() => {
                let record = record.clone();
                self.on_repeat(req, record, out);
            }
            _ => {
                if let Err(kind) = self.start(now, req, out) {
                    self.refuse(req.caller, kind, out);
                }
            }
        }
    }

    /// Answers a repeat of a key that has a record.
    fn on_repeat(&mut self, req: AttemptRequest, record: Record, out: &mut Vec<Output>) {
        if record.fingerprint != req.fingerprint {
            self.refuse(req.caller, ErrorKind::KeyConflict, out);
            return;
        }
        let kind = match record.state {
            State::Active(attempt) => {
                self.join(attempt, req.caller);
                return;
            }
            State::Answered(answer) => {
                let caller = req.caller;
                out.push(Output::Answer { caller, answer });
                return;
            }
            State::Prepared(vote) => {
                self.query(req.key, vote, out);
                ErrorKind::OutcomeUnknown
            }
            State::Lost(run) => {
                let key = req.key;
                out.push(Output::QueryOutcome { key, run });
                ErrorKind::OutcomeUnknown
            }
            State::NotKept => ErrorKind::AnswerNotKept,
        };
        self.refuse(req.caller, kind, out);
    }

    /// Begins to run a key that has no record.
    fn start(
        &mut self,
        now: Now,
        req: AttemptRequest,
        out: &mut Vec<Output>,
    ) -> Result<(), ErrorKind> {
        let mint = req.key.minted_at();
        if self.is_from_future(now, req.key) {
            return Err(ErrorKind::KeyFromFuture);
        }
        let placement = self.locate(req.key)?;
        let is_home = self.is_me(placement.home);
        let is_copy = placement.copy.is_some_and(|copy| self.is_me(copy));
        let is_responsible = is_home || (is_copy && req.role == Role::Substitute);
        if !is_responsible {
            return Err(ErrorKind::HomeMoved);
        }
        if self.is_evicted(mint) {
            return Err(ErrorKind::OutcomeUnknown);
        }
        if !self.records.make_room(self.settings.max_records, mint) {
            return Err(ErrorKind::Overloaded);
        }
        if is_home {
            self.start_as_home(now, req, placement, out);
        } else {
            self.start_as_substitute(now, req, placement, out);
        }
        Ok(())
    }

    fn on_peer(&mut self, now: Now, envelope: Envelope, out: &mut Vec<Output>) {
        let Envelope { from, to, msg } = envelope;
        if !self.is_me(to) {
            self.refuse_misdirected(from, msg, out);
            return;
        }
        match msg {
            PeerMessage::Prepare { .. } => self.on_prepare(now, from, msg, out),
            PeerMessage::PrepareAck { key, run } => self.on_prepare_ack(from, key, run, out),
            PeerMessage::PrepareRefused { key, run, reason } => {
                self.on_prepare_refused(from, key, run, reason, out);
            }
            PeerMessage::Release { key, run } => self.on_release(from, key, run),
            PeerMessage::Recorded {
                key,
                fingerprint,
                kept,
            } => self.on_recorded(from, key, fingerprint, kept, out),
            PeerMessage::RecordedAck { key } => self.on_recorded_ack(from, key),
            PeerMessage::Query { key, run } => self.on_query(from, key, run, out),
        }
    }

    fn refuse(&self, caller: CallerId, kind: ErrorKind, out: &mut Vec<Output>) {
        let refusal = self.refusal(kind);
        out.push(Output::Refuse { caller, refusal });
    }

    fn refusal(&self, kind: ErrorKind) -> Refusal {
        match kind.answer().advice {
            RetryAdvice::Never => Refusal::new(kind),
            RetryAdvice::After => Refusal::with_retry_after(kind, self.settings.retry_after),
            RetryAdvice::SameKeyAfter => {
                Refusal::with_retry_after(kind, self.settings.outcome_retry_after)
            }
        }
    }

    fn expired_before(&self, now: Now) -> UnixMillis {
        let retention = self.settings.retention.as_millis() as u64;
        UnixMillis(now.wall.0.saturating_sub(retention))
    }
}
