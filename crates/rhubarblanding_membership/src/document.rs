//! The operators' document, split into parts so that only changed parts are sent.

use std::collections::BTreeMap;

use rhubarblanding_core::prelude::DocVersion;
use serde::{Deserialize, Serialize};

/// One separately changed part of the document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentPart {
    /// Name of the part, unique in the document.
    pub name: String,
    /// Document version in which the part last changed.
    pub version: DocVersion,
    /// Content, or `None` if the part was removed.
    pub body: Option<String>,
}

/// The whole document, or the parts that changed since a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version of the document.
    pub version: DocVersion,
    /// Parts, with unique names.
    pub parts: Vec<DocumentPart>,
}

impl Document {
    /// Creates a document that consists of a single part.
    pub fn whole(version: DocVersion, body: String) -> Self {
        let part = DocumentPart {
            name: "document".to_owned(),
            version,
            body: Some(body),
        };
        Self {
            version,
            parts: vec![part],
        }
    }
}

/// Copy of the document held by one node.
#[derive(Clone, Debug, Default)]
pub struct DocumentCopy {
    version: DocVersion,
    parts: BTreeMap<String, DocumentPart>,
}

impl DocumentCopy {
    /// Returns the version of the copy.
    pub fn version(&self) -> DocVersion {
        self.version
    }

    /// Merges `document`, which needs to contain only the parts changed since [`Self::version`].
    ///
    /// Returns `true` if the copy changed. Without `check_version` older documents are accepted.
    pub fn merge(&mut self, document: Document, check_version: bool) -> bool {
        if check_version && document.version <= self.version {
            return false;
        }
        if document.version == self.version {
            return false;
        }
        self.version = document.version;
        for part in document.parts {
            self.parts.insert(part.name.clone(), part);
        }
        true
    }

    /// Returns the parts changed after `version`, with the version of the document.
    pub fn since(&self, version: DocVersion) -> Document {
        let changed = |part: &&DocumentPart| part.version > version;
        Document {
            version: self.version,
            parts: self.parts.values().filter(changed).cloned().collect(),
        }
    }

    /// Returns the document with every part that was not removed.
    pub fn to_document(&self) -> Document {
        let present = |part: &&DocumentPart| part.body.is_some();
        Document {
            version: self.version,
            parts: self.parts.values().filter(present).cloned().collect(),
        }
    }

    /// Returns the memory used by the parts, in bytes.
    pub fn heap_bytes(&self) -> usize {
        let part_bytes = |part: &DocumentPart| {
            let text = 2 * part.name.capacity() + part.body.as_ref().map_or(0, String::capacity);
            text + size_of::<(String, DocumentPart)>()
        };
        self.parts.values().map(part_bytes).sum()
    }
}
