//! Moving a node to newer documents only.

use std::sync::Arc;

use rhubarblanding_core::ids::DocVersion;

use crate::document::Document;

/// The document in force at one node.
///
/// Documents come from the key-value service and from other nodes, in any order and any number
/// of times. Only a higher version than the present one is adopted.
#[derive(Clone, Debug, Default)]
pub struct Adopter {
    current: Arc<Document>,
}

impl Adopter {
    /// Starts with the empty document of version zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Version of the document in force; zero before the first one.
    pub fn version(&self) -> DocVersion {
        self.current.version()
    }

    /// Document in force.
    pub fn current(&self) -> &Arc<Document> {
        &self.current
    }

    /// Whether a document of this version would be adopted.
    pub fn is_newer(&self, version: DocVersion) -> bool {
        version > self.version()
    }

    /// Adopts `document` if its version is higher, and returns the one in force from then on.
    pub fn offer(&mut self, document: Document) -> Option<&Arc<Document>> {
        if !self.is_newer(document.version()) {
            return None;
        }
        self.current = Arc::new(document);
        Some(&self.current)
    }
}
