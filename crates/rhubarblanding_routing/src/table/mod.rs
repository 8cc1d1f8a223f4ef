//! Routes of one version of the operators' configuration.
//!
//! [`RawConfiguration`] is decoded by an adapter; [`Configuration`] is its validated form.
//! [`RouteTable`] finds the route of a request and [`Split`] the service that serves it.

mod audit;
mod configuration;
mod difference;
mod lookup;
mod split;

pub use audit::{Advice, AdviceKind};
pub use configuration::{
    Backend, ClientLimits, Configuration, ConfigurationError, RawBackend, RawConfiguration,
    RawLimits, RawRoute, RawService, RawUndecodedRoute, Route, ServiceSpec, UnusableRoute,
};
pub use difference::{Difference, differences};
pub use lookup::{RouteKey, RouteMatch, RouteTable};
pub use split::Split;
