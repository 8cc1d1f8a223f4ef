//! Share of a request's allowance that is lent with one downstream call.

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Share of the allowance that is lent with one downstream call.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum LendShare {
    /// Half of what is left, rounded up, so that the deepest layer still gets one retry.
    #[default]
    HalfUp,
    /// Half of what is left, rounded down, so that the layers near the root keep more.
    HalfDown,
    /// All that is left.
    All,
    /// Nothing: only the root's node retries.
    Nothing,
}

impl LendShare {
    /// Returns the number of retries lent out of `left`.
    pub fn of(self, left: u8) -> u8 {
        match self {
            Self::HalfUp => left.div_ceil(2),
            Self::HalfDown => left / 2,
            Self::All => left,
            Self::Nothing => 0,
        }
    }
}
