//! Ranges that the fields of a ticket must lie in.

use std::ops::RangeInclusive;

/// Ticket numbers. The end is the greatest integer that every JSON reader holds exactly.
pub const TICKET_NUMBER: RangeInclusive<u64> = 1..=(1 << 53) - 1;

/// Services that one ticket sets, and that it removes.
pub const SERVICES_MAX: usize = 256;

/// Kinds of request of one service.
pub const KINDS_MAX: usize = 64;

/// Slots expected of one backend server.
pub const EXPECTED_SLOTS: RangeInclusive<u64> = 1..=100_000;

/// Limit of a drain in milliseconds: a second to a day.
pub const DRAIN_LIMIT_MS: RangeInclusive<u64> = 1_000..=86_400_000;

/// Slow start in milliseconds: none to ten minutes.
pub const SLOW_START_MS: RangeInclusive<u64> = 0..=600_000;

/// Weight of one whole request.
pub const WEIGHT: RangeInclusive<u64> = 1..=1_000;

/// Retries of one root request over its whole chain.
pub const RETRY_ALLOWANCE: RangeInclusive<u64> = 0..=10;

/// Deadline in milliseconds: a millisecond to a day.
pub const DEADLINE_MS: RangeInclusive<u64> = 1..=86_400_000;

/// Size of a request body in bytes: none to 1 GiB.
pub const BODY_BYTES: RangeInclusive<u64> = 0..=1 << 30;

/// Size of a kept answer in bytes: none to 1 MiB.
pub const KEPT_ANSWER_BYTES: RangeInclusive<u64> = 0..=1 << 20;
