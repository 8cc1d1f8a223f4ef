//! Allowed ranges of the fields of a ticket.

use std::ops::RangeInclusive;

/// Ticket number. The upper end is the greatest integer that every JSON parser represents exactly.
pub const TICKET_NUMBER: RangeInclusive<u64> = 1..=(1 << 53) - 1;

/// Maximum number of services that one ticket sets, and of those that it removes.
pub const SERVICES_MAX: usize = 256;

/// Maximum number of kinds of request of one service.
pub const KINDS_MAX: usize = 64;

/// Expected concurrency slots of one backend server.
pub const EXPECTED_SLOTS: RangeInclusive<u64> = 1..=100_000;

/// Drain limit in milliseconds: a second to a day.
pub const DRAIN_LIMIT_MS: RangeInclusive<u64> = 1_000..=86_400_000;

/// Slow start in milliseconds: none to ten minutes.
pub const SLOW_START_MS: RangeInclusive<u64> = 0..=600_000;

/// Weight of one complete request in goodput.
pub const WEIGHT: RangeInclusive<u64> = 1..=1_000;

/// Maximum number of retries over the whole call tree of a root request.
pub const RETRY_ALLOWANCE: RangeInclusive<u64> = 0..=10;

/// Deadline in milliseconds: a millisecond to a day.
pub const DEADLINE_MS: RangeInclusive<u64> = 1..=86_400_000;

/// Size of a request body in bytes: none to 1 GiB.
pub const BODY_BYTES: RangeInclusive<u64> = 0..=1 << 30;

/// Size of a kept answer in bytes: none to 1 MiB.
pub const KEPT_ANSWER_BYTES: RangeInclusive<u64> = 0..=1 << 20;
