//! Client of the platform's key-value service: compare-and-swap, leases and watches.
//!
//! [`StoreClient`] makes single calls. Its errors distinguish a call that was certainly not applied
//! ([`StoreError::Unavailable`]) from one that may have been ([`StoreError::AnswerLost`]).
//! [`WatchLoop`] watches one key and continues after outages of the service.
//!
//! ```no_run
//! # async fn example() -> Result<(), error_stack::Report<rhubarblanding_store::StoreError>> {
//! use rhubarblanding_store::prelude::*;
//!
//! let client = StoreClient::new(StoreSettings::default());
//! let key = Key::from_static("greeting");
//! let outcome = client.compare_and_swap(&key, Revision::ABSENT, "hello".into()).await?;
//! assert!(matches!(outcome, CasOutcome::Stored(_)));
//! # Ok(())
//! # }
//! ```

pub mod backoff;
pub mod client;
pub mod codec;
pub mod error;
pub mod key;
pub mod metered;
pub mod value;
pub mod watch;

pub use client::{StoreClient, StoreSettings};
pub use error::StoreError;
pub use key::Key;
pub use value::{
    CasOutcome, Era, Lease, LeaseId, ListEntry, ListPage, Revision, Versioned, WatchOutcome,
};
pub use watch::{WatchLoop, WatchSettings};

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::client::{StoreClient, StoreSettings};
    pub use crate::error::StoreError;
    pub use crate::key::Key;
    pub use crate::value::{
        CasOutcome, Era, Lease, LeaseId, ListEntry, ListPage, Revision, Versioned, WatchOutcome,
    };
    pub use crate::watch::{WatchLoop, WatchSettings};
}
