//! Checks that turn raw tickets into checked ones and collect every fault on the way.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::ops::RangeInclusive;
use std::time::Duration;

use rhubarblanding_core::importance::{Idempotency, Importance};
use rhubarblanding_core::names::{KindName, ServiceName};

use super::error::{FieldError, FieldReason, InvalidTicket};
use super::raw::{RawBackend, RawKind, RawService, RawTicket};
use super::{Ticket, limits};
use crate::spec::{BackendSpec, KindLimits, KindSpec, MethodPattern, PathPattern, ServiceSpec};

/// Checks a whole ticket.
pub(super) fn check_ticket(raw: RawTicket) -> Result<Ticket, InvalidTicket> {
    let mut check = Check::default();
    let number = check.range("ticket", raw.ticket, limits::TICKET_NUMBER);
    check.count("services", raw.services.len(), limits::SERVICES_MAX);
    check.count(
        "remove_services",
        raw.remove_services.len(),
        limits::SERVICES_MAX,
    );
    if raw.services.is_empty() && raw.remove_services.is_empty() {
        check.fault("services", &FieldReason::NothingTouched);
    }
    let services = check.services(raw.services);
    let remove_services = check.removed(&raw.remove_services, &services);
    check.finish(Ticket {
        number: rhubarblanding_core::ids::TicketNumber(number),
        services,
        remove_services,
    })
}

/// Checks the state of one service.
pub(crate) fn check_service(raw: RawService) -> Result<ServiceSpec, InvalidTicket> {
    let mut check = Check::default();
    let service = check.service("service", raw);
    check.finish(service)
}

/// Faults found so far.
#[derive(Default)]
struct Check {
    faults: Vec<FieldError>,
}

impl Check {
    fn finish<T>(self, checked: T) -> Result<T, InvalidTicket> {
        if self.faults.is_empty() {
            return Ok(checked);
        }
        Err(InvalidTicket {
            fields: self.faults,
        })
    }

    fn fault(&mut self, path: impl Into<String>, reason: &FieldReason) {
        self.faults.push(FieldError::new(path, reason));
    }

    /// Notes a failed conversion as a fault of `path`.
    fn take<T, E>(
        &mut self,
        path: impl fmt::Display,
        result: Result<T, E>,
        reason: impl Fn(E) -> FieldReason,
    ) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(e) => {
                self.fault(path.to_string(), &reason(e));
                None
            }
        }
    }

    fn range(&mut self, path: impl Into<String>, value: u64, allowed: RangeInclusive<u64>) -> u64 {
        if !allowed.contains(&value) {
            self.fault(path, &FieldReason::Range(allowed));
        }
        value
    }

    fn count(&mut self, path: impl Into<String>, count: usize, max: usize) {
        if count > max {
            self.fault(path, &FieldReason::TooMany(max));
        }
    }

    /// Value of an optional field that fits its range and 32 bits.
    fn small(
        &mut self,
        path: impl Into<String>,
        value: Option<u64>,
        default: u32,
        allowed: RangeInclusive<u64>,
    ) -> u32 {
        let value = self.range(path, value.unwrap_or(default.into()), allowed);
        u32::try_from(value).unwrap_or(default)
    }

    fn millis(
        &mut self,
        path: impl Into<String>,
        value: Option<u64>,
        default: Duration,
        allowed: RangeInclusive<u64>,
    ) -> Duration {
        match value {
            Some(millis) => Duration::from_millis(self.range(path, millis, allowed)),
            None => default,
        }
    }

    fn services(
        &mut self,
        raw: BTreeMap<String, RawService>,
    ) -> BTreeMap<ServiceName, ServiceSpec> {
        let mut checked = BTreeMap::new();
        for (name, service) in raw {
            let path = format!("services.{name}");
            let name = self.take(&path, ServiceName::try_from(name), FieldReason::Name);
            let service = self.service(&path, service);
            if let Some(name) = name {
                checked.insert(name, service);
            }
        }
        checked
    }

    fn removed(
        &mut self,
        raw: &[String],
        set: &BTreeMap<ServiceName, ServiceSpec>,
    ) -> BTreeSet<ServiceName> {
        let mut removed = BTreeSet::new();
        for (index, name) in raw.iter().enumerate() {
            let path = format!("remove_services[{index}]");
            let name = ServiceName::try_from(name.as_str());
            let Some(name) = self.take(&path, name, FieldReason::Name) else {
                continue;
            };
            if set.contains_key(&name) {
                self.fault(&path, &FieldReason::SetAndRemoved);
            }
            if !removed.insert(name) {
                self.fault(path, &FieldReason::Duplicate);
            }
        }
        removed
    }

    fn service(&mut self, path: &str, raw: RawService) -> ServiceSpec {
        let backend = self.backend(&format!("{path}.backend"), &raw.backend);
        let path = format!("{path}.kinds");
        self.count(&path, raw.kinds.len(), limits::KINDS_MAX);
        let mut kinds: Vec<KindSpec> = Vec::new();
        for (index, raw) in raw.kinds.iter().enumerate() {
            let path = format!("{path}[{index}]");
            let Some(kind) = self.kind(&path, raw) else {
                continue;
            };
            self.against_earlier(&path, &kind, &kinds);
            kinds.push(kind);
        }
        ServiceSpec::new(backend, kinds)
    }

    fn against_earlier(&mut self, path: &str, kind: &KindSpec, earlier: &[KindSpec]) {
        if earlier.iter().any(|other| other.name == kind.name) {
            self.fault(format!("{path}.name"), &FieldReason::Duplicate);
        }
        let same = |other: &KindSpec| other.method == kind.method && other.path == kind.path;
        if earlier.iter().any(same) {
            self.fault(format!("{path}.path"), &FieldReason::Unreachable);
        }
    }

    fn backend(&mut self, path: &str, raw: &RawBackend) -> BackendSpec {
        let default = BackendSpec::default();
        BackendSpec {
            expected_slots: self.small(
                format!("{path}.expected_slots"),
                raw.expected_slots,
                default.expected_slots,
                limits::EXPECTED_SLOTS,
            ),
            drain_limit: self.millis(
                format!("{path}.drain_limit_ms"),
                raw.drain_limit_ms,
                default.drain_limit,
                limits::DRAIN_LIMIT_MS,
            ),
            slow_start: self.millis(
                format!("{path}.slow_start_ms"),
                raw.slow_start_ms,
                default.slow_start,
                limits::SLOW_START_MS,
            ),
        }
    }

    fn kind(&mut self, path: &str, raw: &RawKind) -> Option<KindSpec> {
        let name = self.kind_name(format!("{path}.name"), &raw.name);
        let method = self.take(
            format_args!("{path}.method"),
            MethodPattern::try_from(raw.method.as_str()),
            FieldReason::Pattern,
        );
        let pattern = self.take(
            format_args!("{path}.path"),
            PathPattern::try_from(raw.path.as_str()),
            FieldReason::Pattern,
        );
        let idempotency = self.take(
            format_args!("{path}.idempotency"),
            raw.idempotency.parse::<Idempotency>(),
            |_| FieldReason::not_one_of::<Idempotency>(),
        );
        let importance = self.importance(format!("{path}.importance"), raw.importance.as_deref());
        let weight = self.small(
            format!("{path}.weight"),
            raw.weight,
            KindSpec::DEFAULT_WEIGHT,
            limits::WEIGHT,
        );
        let limits = self.kind_limits(path, raw);
        Some(KindSpec {
            name: name?,
            method: method?,
            path: pattern?,
            importance: importance?,
            weight,
            idempotency: idempotency?,
            limits,
        })
    }

    fn kind_name(&mut self, path: String, raw: &str) -> Option<KindName> {
        if raw == KindSpec::DEFAULT_READ || raw == KindSpec::DEFAULT_WRITE {
            self.fault(path, &FieldReason::Reserved);
            return None;
        }
        self.take(path, KindName::try_from(raw), FieldReason::Name)
    }

    fn importance(&mut self, path: String, raw: Option<&str>) -> Option<Importance> {
        let parsed = raw.map_or(Ok(Importance::default()), str::parse);
        self.take(path, parsed, |_| FieldReason::not_one_of::<Importance>())
    }

    fn kind_limits(&mut self, path: &str, raw: &RawKind) -> KindLimits {
        let default = KindLimits::default();
        KindLimits {
            retry_allowance: self.small(
                format!("{path}.retry_allowance"),
                raw.retry_allowance,
                default.retry_allowance,
                limits::RETRY_ALLOWANCE,
            ),
            deadline: self.millis(
                format!("{path}.deadline_ms"),
                raw.deadline_ms,
                default.deadline,
                limits::DEADLINE_MS,
            ),
            max_body_bytes: self.range(
                format!("{path}.max_body_bytes"),
                raw.max_body_bytes.unwrap_or(default.max_body_bytes),
                limits::BODY_BYTES,
            ),
            max_kept_answer_bytes: self.range(
                format!("{path}.max_kept_answer_bytes"),
                raw.max_kept_answer_bytes
                    .unwrap_or(default.max_kept_answer_bytes),
                limits::KEPT_ANSWER_BYTES,
            ),
        }
    }
}
