//! The operators' document in force at this node.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use rhubarblanding_admission::prelude::KindId;
use rhubarblanding_core::prelude::*;
use rhubarblanding_tickets::prelude::*;

use crate::process::parking::{Mutex, lock};

/// Holds the newest document that was adopted.
#[derive(Debug, Default)]
pub struct CurrentDocument {
    adopter: Mutex<Adopter>,
    /// Copy of the version that is read without the lock.
    version: AtomicU64,
}

impl CurrentDocument {
    /// The document in force.
    pub fn get(&self) -> Arc<Document> {
        Arc::clone(lock(&self.adopter).current())
    }

    /// Version of the document in force.
    pub fn version(&self) -> DocVersion {
        DocVersion(self.version.load(Ordering::Acquire))
    }

    /// Adopts `document` if it is newer; tells whether it was.
    pub fn offer(&self, document: Document) -> bool {
        let mut adopter = lock(&self.adopter);
        let adopted = adopter.offer(document).is_some();
        self.version.store(adopter.version().0, Ordering::Release);
        adopted
    }
}

/// Number of a kind within its service, for the gate.
pub fn kind_id(spec: &ServiceSpec, kind: &KindSpec) -> KindId {
    let position = spec
        .kinds()
        .iter()
        .position(|other| std::ptr::eq(other, kind));
    // Requests that match no kind share the number after the last kind.
    let number = position.unwrap_or(spec.kinds().len());
    KindId(u16::try_from(number).unwrap_or(KindId::MAX))
}
