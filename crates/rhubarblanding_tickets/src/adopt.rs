//! Adoption of newer documents by a node.

use std::sync::Arc;

use rhubarblanding_core::ids::DocVersion;

use crate::document::Document;

/// Active document of one node.
///
/// Documents arrive from the key-value service and from other nodes, in any order and any number
/// of times. Only a version higher than the current one is adopted.
#[derive(Clone, Debug, Default)]
pub struct Adopter {
    current: Arc<Document>,
}

impl Adopter {
    /// Creates an adopter with the empty document of version zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the version of the active document, or zero before the first one.
    pub fn version(&self) -> DocVersion {
        self.current.version()
    }

    /// Returns the active document.
    pub fn current(&self) -> &Arc<Document> {
        &self.current
    }

    /// Returns `true` if `version` is higher than that of the active document.
    pub fn is_newer(&self, version: DocVersion) -> bool {
        version > self.version()
    }

    /// Adopts and returns `document` if its version is higher than that of the active one.
    pub fn offer(&mut self, document: Document) -> Option<&Arc<Document>> {
        if !self.is_newer(document.version()) {
            return None;
        }
        self.current = Arc::new(document);
        Some(&self.current)
    }
}
