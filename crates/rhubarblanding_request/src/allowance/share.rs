//! How much of a request's allowance goes with one downstream call.

use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Share of the allowance that is lent with one downstream call.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum LendShare {
    /// Half of what is left, rounded up: the deepest layer still gets one.
    #[default]
    HalfUp,
    /// Half of what is left, rounded down: the layers near the root keep more.
    HalfDown,
    /// All that is left.
    All,
    /// Nothing: only the root's node sends again.
    Nothing,
}

impl LendShare {
    /// Amount that is lent out of `left`.
    pub fn of(self, left: u8) -> u8 {
        match self {
            Self::HalfUp => left.div_ceil(2),
            Self::HalfDown => left / 2,
            Self::All => left,
            Self::Nothing => 0,
        }
    }
}
