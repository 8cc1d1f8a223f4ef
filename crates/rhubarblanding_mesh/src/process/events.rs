//! Log events about requests.

use std::time::Duration;

use http::{HeaderValue, StatusCode};
use rhubarblanding_accounts::quota::{Quota, Refused};
use rhubarblanding_admission::slots::RequestRate;
use rhubarblanding_core::prelude::*;
use rhubarblanding_request::suspect::Fingerprint;
use rhubarblanding_routing::prelude::TargetId;

use super::notice::NoticeChange;
use super::shared::Shared;
use crate::protocol::Instance;
use crate::request::HopHeader;

/// Stage at which a request ended without an answer of a target.
#[derive(Clone, Copy, Debug)]
pub enum RefusalStage<'a> {
    /// Before a service was selected.
    AtEntry,
    /// After an attempt to select a target of a service.
    AfterSelection {
        /// Service that the request was routed to.
        service: &'a ServiceName,
        /// Version of the configuration with the route.
        version: DocVersion,
        /// Hosts of the targets that were tried.
        tried: &'a [HostId],
        /// Time since the request arrived.
        waited: Duration,
    },
}

/// Reason for sending a request to a second target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RetryReason {
    /// The target refused the request without running it.
    Shed,
    /// No usable answer arrived.
    Lost,
    /// The target answered with a failure.
    Failed,
}

/// Node that received an answer with a notice of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum NoticeSource {
    /// This node.
    Answer,
    /// Another node, which sent the notice along with a request.
    Peer,
}

/// Age of knowledge in milliseconds, -1 if there is none.
pub(super) fn age_ms(age: Option<Duration>) -> i64 {
    age.map_or(-1, |age| age.as_millis() as i64)
}

fn request_id_text(id: Option<&HeaderValue>) -> &str {
    id.and_then(|id| id.to_str().ok()).unwrap_or("-")
}

impl Shared {
    /// Logs and counts an answer of the node itself.
    pub fn log_refusal(&self, id: Option<&HeaderValue>, refusal: Refusal, stage: RefusalStage<'_>) {
        self.metrics.refused(refusal.kind);
        let id = request_id_text(id);
        let kind = refusal.kind;
        let retry_ms = refusal
            .retry_after
            .map_or(0, |after| after.as_millis() as u64);
        match stage {
            RefusalStage::AtEntry => {
                let version = self.version().map_or(0, |version| version.number().0);
                let age_ms = age_ms(self.configuration_age());
                log::info!(
                    id = id, reason:% = kind, status = kind.answer().status, version = version, age_ms = age_ms;
                    "refused_at_entry"
                );
            }
            RefusalStage::AfterSelection {
                service,
                version,
                tried,
                waited,
            } => log::info!(
                id = id, reason:% = kind, status = kind.answer().status, retry_ms = retry_ms,
                service:% = service, version = version.0, tried = tried.len(),
                host:% = tried.last().map(HostId::to_string).unwrap_or_default(), waited_us = waited.as_micros() as u64,
                known_targets = self.targets.len(service);
                "refused"
            ),
        }
    }

    /// Logs and counts a request that is refused because of its client account. `name` is that of the
    /// account if it is known; `age` is that of the knowledge that `version` is the newest.
    pub fn log_account_refusal(
        &self,
        id: Option<&HeaderValue>,
        refusal: Refusal,
        name: Option<&str>,
        (version, age): (DocVersion, Option<Duration>),
    ) {
        self.metrics.refused(refusal.kind);
        log::info!(
            id = request_id_text(id), reason:% = refusal.kind, account = name.unwrap_or("-"),
            version = version.0, age_ms = age_ms(age);
            "client_account_refused"
        );
    }

    /// Logs and counts a request that is refused because of its account's quota, with what the decision
    /// was based on.
    pub fn log_quota_refusal(
        &self,
        id: &HeaderValue,
        name: Option<&str>,
        quota: Quota,
        refused: Refused,
    ) {
        let Refused { refusal, state } = refused;
        self.metrics.refused(refusal.kind);
        let retry = refusal.retry_after.unwrap_or_default();
        log::info!(
            id = request_id_text(Some(id)), reason:% = refusal.kind, account = name.unwrap_or("-"),
            rate_per_s = quota.rate_per_s, burst = quota.burst,
            retry_ms = retry.as_millis() as u64, left = state.left, waiting = state.waiting,
            granted_ms_ago = state.granted_ago.map_or(-1, |ago| ago.as_millis() as i64),
            home = state.home.map(|home| home.to_string()).unwrap_or_default();
            "account_quota_refused"
        );
    }

    /// Logs a request that is sent to a target other than those of `tried`, by the route that `version`
    /// of the configuration has for it.
    pub fn log_retry(
        &self,
        id: &HeaderValue,
        service: &ServiceName,
        reason: RetryReason,
        (tried, version): (&[HostId], DocVersion),
    ) {
        let host = tried.last().map(HostId::to_string).unwrap_or_default();
        let active = self.version().map_or(0, |version| version.number().0);
        log::info!(
            id = request_id_text(Some(id)), service:% = service, host = host, reason:% = reason,
            version = version.0, active = active, age_ms = age_ms(self.configuration_age());
            "sent_again"
        );
    }

    /// Logs and counts a request that does not run again, as the route that `version` of the
    /// configuration has for it may be out of force.
    pub fn log_retry_withheld(&self, id: &HeaderValue, service: &ServiceName, version: DocVersion) {
        self.metrics.retry_withheld();
        let active = self.version().map_or(0, |version| version.number().0);
        log::info!(
            id = request_id_text(Some(id)), service:% = service, version = version.0,
            active = active, age_ms = age_ms(self.configuration_age());
            "not_sent_again"
        );
    }

    /// Logs that the host of `target`, which was chosen for a request, runs a service other than
    /// `service`.
    pub(super) fn log_other_service(
        &self,
        id: &HeaderValue,
        service: &ServiceName,
        target: TargetId,
    ) {
        log::info!(
            id = request_id_text(Some(id)), service:% = service, host:% = target.host,
            incarnation = target.incarnation.0;
            "host_has_other_service"
        );
    }

    /// Logs and counts a request whose sender disconnected before the answer.
    pub fn log_cancelled(&self, id: &HeaderValue, service: &ServiceName, waited: Duration) {
        self.metrics.cancelled();
        log::info!(
            id = request_id_text(Some(id)), service:% = service, waited_us = waited.as_micros() as u64;
            "cancelled"
        );
    }

    /// Logs and counts an answer of a target.
    pub fn log_answer(
        &self,
        id: &HeaderValue,
        service: &ServiceName,
        target: TargetId,
        status: StatusCode,
        began: MonoTime,
    ) {
        let took = self.clock.now().since(began);
        self.metrics.answered(status, took);
        if status.is_success() {
            log::debug!(
                id = request_id_text(Some(id)), service:% = service, host:% = target.host,
                status = status.as_u16(), took_us = took.as_micros() as u64;
                "answered"
            );
            return;
        }
        log::info!(
            id = request_id_text(Some(id)), service:% = service, host:% = target.host,
            status = status.as_u16(), took_us = took.as_micros() as u64;
            "answered_with_failure"
        );
    }

    /// Logs a request that the admission gate refused, with the inputs of the decision.
    pub fn log_admission_refusal(
        &self,
        id: Option<&HeaderValue>,
        header: &HopHeader,
        refusal: Refusal,
    ) {
        let now = self.clock.now();
        let inputs = self.local.inputs(now, header.kind, header.account);
        log::info!(
            id = request_id_text(id), reason:% = refusal.kind, service:% = header.service,
            rank = header.rank, is_call = header.is_call,
            objective_ms = header.objective.as_millis() as u64,
            deadline_ms = header.deadline.as_millis() as u64,
            running = inputs.running, queued = inputs.queued, slots = inputs.slots,
            hold_us = inputs.hold.as_micros() as u64, open_of_kind = inputs.open,
            completed_per_s = inputs.completed_per_s,
            rate_per_s = inputs.rate.map_or(-1.0, RequestRate::per_second),
            account:% = header.account, accounts_queued = inputs.accounts_queued,
            queued_of_account = inputs.queued_of_account;
            "turned_away"
        );
    }

    /// Logs and counts a request without a usable answer of the local target.
    pub fn log_target_failure(&self, id: Option<&HeaderValue>, reason: &str) {
        self.metrics.target_failed();
        let load = self.local.load(self.clock.now());
        log::info!(
            id = request_id_text(id), reason = reason, running = load.in_flight, queued = load.queued,
            limit = load.limit;
            "target_failed"
        );
    }

    /// Logs and counts a request that ran when the local target crashed.
    pub fn log_crash(
        &self,
        id: Option<&HeaderValue>,
        instance: &Instance,
        fingerprint: Fingerprint,
    ) {
        self.metrics.lost_in_crash();
        log::info!(
            id = request_id_text(id), instance:% = instance.id, fingerprint:% = fingerprint;
            "lost_in_crash"
        );
    }

    /// Logs a change of what the local target says of itself.
    pub fn log_notice(
        &self,
        instance: Option<&Instance>,
        change: NoticeChange,
        source: NoticeSource,
    ) {
        let id = instance.map_or("-", |instance| &instance.id.0);
        if let Some(rate) = change.rate {
            self.metrics.set_target_rate(rate);
            let per_s = rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string());
            log::info!(instance = id, per_s = per_s, source:% = source; "target_rate_limited");
        }
        if change.began_leaving {
            log::info!(instance = id, source:% = source; "target_leaving");
        }
    }
}
