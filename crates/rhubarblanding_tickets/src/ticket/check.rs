//! Validation of raw tickets, which collects all errors.

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

/// Validates a ticket.
pub(super) fn check_ticket(raw: RawTicket) -> Result<Ticket, InvalidTicket> {
    let mut validator = Validator::default();
    let number = validator.check_range("ticket", raw.ticket, limits::TICKET_NUMBER);
    validator.check_count("services", raw.services.len(), limits::SERVICES_MAX);
    validator.check_count(
        "remove_services",
        raw.remove_services.len(),
        limits::SERVICES_MAX,
    );
    if raw.services.is_empty() && raw.remove_services.is_empty() {
        validator.add_error("services", &FieldReason::NothingTouched);
    }
    let services = validator.services(raw.services);
    let remove_services = validator.removed_services(&raw.remove_services, &services);
    validator.finish(Ticket {
        number: rhubarblanding_core::ids::TicketNumber(number),
        services,
        remove_services,
    })
}

/// Validates the state of one service.
pub(crate) fn check_service(raw: RawService) -> Result<ServiceSpec, InvalidTicket> {
    let mut validator = Validator::default();
    let service = validator.service("service", raw);
    validator.finish(service)
}

/// Validation in progress, with the errors found so far.
#[derive(Default)]
struct Validator {
    errors: Vec<FieldError>,
}

impl Validator {
    fn finish<T>(self, checked: T) -> Result<T, InvalidTicket> {
        if self.errors.is_empty() {
            return Ok(checked);
        }
        Err(InvalidTicket {
            fields: self.errors,
        })
    }

    fn add_error(&mut self, path: impl Into<String>, reason: &FieldReason) {
        self.errors.push(FieldError::new(path, reason));
    }

    /// Records a failed conversion as an error of `path`.
    fn convert<T, E>(
        &mut self,
        path: impl fmt::Display,
        result: Result<T, E>,
        reason: impl Fn(E) -> FieldReason,
    ) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(e) => {
                self.add_error(path.to_string(), &reason(e));
                None
            }
        }
    }

    fn check_range(
        &mut self,
        path: impl Into<String>,
        value: u64,
        allowed: RangeInclusive<u64>,
    ) -> u64 {
        if !allowed.contains(&value) {
            self.add_error(path, &FieldReason::Range(allowed));
        }
        value
    }

    fn check_count(&mut self, path: impl Into<String>, count: usize, max: usize) {
        if count > max {
            self.add_error(path, &FieldReason::TooMany(max));
        }
    }

    /// Checks an optional field that must fit its range and 32 bits.
    fn optional_u32(
        &mut self,
        path: impl Into<String>,
        value: Option<u64>,
        default: u32,
        allowed: RangeInclusive<u64>,
    ) -> u32 {
        let value = self.check_range(path, value.unwrap_or(default.into()), allowed);
        u32::try_from(value).unwrap_or(default)
    }

    fn optional_millis(
        &mut self,
        path: impl Into<String>,
        value: Option<u64>,
        default: Duration,
        allowed: RangeInclusive<u64>,
    ) -> Duration {
        match value {
            Some(millis) => Duration::from_millis(self.check_range(path, millis, allowed)),
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
            let name = self.convert(&path, ServiceName::try_from(name), FieldReason::Name);
            let service = self.service(&path, service);
            if let Some(name) = name {
                checked.insert(name, service);
            }
        }
        checked
    }

    fn removed_services(
        &mut self,
        raw: &[String],
        set: &BTreeMap<ServiceName, ServiceSpec>,
    ) -> BTreeSet<ServiceName> {
        let mut removed = BTreeSet::new();
        for (index, name) in raw.iter().enumerate() {
            let path = format!("remove_services[{index}]");
            let name = ServiceName::try_from(name.as_str());
            let Some(name) = self.convert(&path, name, FieldReason::Name) else {
                continue;
            };
            if set.contains_key(&name) {
                self.add_error(&path, &FieldReason::SetAndRemoved);
            }
            if !removed.insert(name) {
                self.add_error(path, &FieldReason::Duplicate);
            }
        }
        removed
    }

    fn service(&mut self, path: &str, raw: RawService) -> ServiceSpec {
        let backend = self.backend(&format!("{path}.backend"), &raw.backend);
        let path = format!("{path}.kinds");
        self.check_count(&path, raw.kinds.len(), limits::KINDS_MAX);
        let mut kinds: Vec<KindSpec> = Vec::new();
        for (index, raw) in raw.kinds.iter().enumerate() {
            let path = format!("{path}[{index}]");
            let Some(kind) = self.kind(&path, raw) else {
                continue;
            };
            self.check_unique(&path, &kind, &kinds);
            kinds.push(kind);
        }
        ServiceSpec::new(backend, kinds)
    }

    fn check_unique(&mut self, path: &str, kind: &KindSpec, earlier: &[KindSpec]) {
        if earlier.iter().any(|other| other.name == kind.name) {
            self.add_error(format!("{path}.name"), &FieldReason::Duplicate);
        }
        let same = |other: &KindSpec| other.method == kind.method && other.path == kind.path;
        if earlier.iter().any(same) {
            self.add_error(format!("{path}.path"), &FieldReason::Unreachable);
        }
    }

    fn backend(&mut self, path: &str, raw: &RawBackend) -> BackendSpec {
        let default = BackendSpec::default();
        BackendSpec {
            expected_slots: self.optional_u32(
                format!("{path}.expected_slots"),
                raw.expected_slots,
                default.expected_slots,
                limits::EXPECTED_SLOTS,
            ),
            drain_limit: self.optional_millis(
                format!("{path}.drain_limit_ms"),
                raw.drain_limit_ms,
                default.drain_limit,
                limits::DRAIN_LIMIT_MS,
            ),
            slow_start: self.optional_millis(
                format!("{path}.slow_start_ms"),
                raw.slow_start_ms,
                default.slow_start,
                limits::SLOW_START_MS,
            ),
        }
    }

    fn kind(&mut self, path: &str, raw: &RawKind) -> Option<KindSpec> {
        let name = self.kind_name(format!("{path}.name"), &raw.name);
        let method = self.convert(
            format_args!("{path}.method"),
            MethodPattern::try_from(raw.method.as_str()),
            FieldReason::Pattern,
        );
        let pattern = self.convert(
            format_args!("{path}.path"),
            PathPattern::try_from(raw.path.as_str()),
            FieldReason::Pattern,
        );
        let idempotency = self.convert(
            format_args!("{path}.idempotency"),
            raw.idempotency.parse::<Idempotency>(),
            |_| FieldReason::not_one_of::<Idempotency>(),
        );
        let importance = self.importance(format!("{path}.importance"), raw.importance.as_deref());
        let weight = self.optional_u32(
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
            self.add_error(path, &FieldReason::Reserved);
            return None;
        }
        self.convert(path, KindName::try_from(raw), FieldReason::Name)
    }

    fn importance(&mut self, path: String, raw: Option<&str>) -> Option<Importance> {
        let parsed = raw.map_or(Ok(Importance::default()), str::parse);
        self.convert(path, parsed, |_| FieldReason::not_one_of::<Importance>())
    }

    fn kind_limits(&mut self, path: &str, raw: &RawKind) -> KindLimits {
        let default = KindLimits::default();
        KindLimits {
            retry_allowance: self.optional_u32(
                format!("{path}.retry_allowance"),
                raw.retry_allowance,
                default.retry_allowance,
                limits::RETRY_ALLOWANCE,
            ),
            deadline: self.optional_millis(
                format!("{path}.deadline_ms"),
                raw.deadline_ms,
                default.deadline,
                limits::DEADLINE_MS,
            ),
            max_body_bytes: self.check_range(
                format!("{path}.max_body_bytes"),
                raw.max_body_bytes.unwrap_or(default.max_body_bytes),
                limits::BODY_BYTES,
            ),
            max_kept_answer_bytes: self.check_range(
                format!("{path}.max_kept_answer_bytes"),
                raw.max_kept_answer_bytes
                    .unwrap_or(default.max_kept_answer_bytes),
                limits::KEPT_ANSWER_BYTES,
            ),
        }
    }
}
