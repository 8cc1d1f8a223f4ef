//! The operators' document, kept in parts so that only changed parts travel.

use std::collections::BTreeMap;

use rhubarblanding_core::prelude::DocVersion;
use serde::{Deserialize, Serialize};

/// One separately changed part of the document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentPart {
    /// Name of the part, unique in the document.
    pub name: String,
    /// Document version that changed the part last.
    pub version: DocVersion,
    /// Content, or nothing once the part was removed.
    pub body: Option<String>,
}

/// The document, or what changed in it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Version of the whole.
    pub version: DocVersion,
    /// Parts, each once.
    pub parts: Vec<DocumentPart>,
}

impl Document {
    /// Document that consists of a single part.
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

/// The parts that a node holds.
#[derive(Clone, Debug, Default)]
pub struct DocumentCopy {
    version: DocVersion,
    parts: BTreeMap<String, DocumentPart>,
}

impl DocumentCopy {
    /// Version held.
    pub fn version(&self) -> DocVersion {
        self.version
    }

    /// Takes in `document`, whose parts need only be those changed since [`Self::version`].
    ///
    /// Returns whether the copy changed. Without `check_version` older documents are taken too.
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

    /// Parts changed after `version`, and the version of the whole.
    pub fn since(&self, version: DocVersion) -> Document {
        let changed = |part: &&DocumentPart| part.version > version;
        Document {
            version: self.version,
            parts: self.parts.values().filter(changed).cloned().collect(),
        }
    }

    /// Every part that was not removed.
    pub fn to_document(&self) -> Document {
        let present = |part: &&DocumentPart| part.body.is_some();
        Document {
            version: self.version,
            parts: self.parts.values().filter(present).cloned().collect(),
        }
    }

    /// Memory taken by the parts, in bytes.
    pub fn heap_bytes(&self) -> usize {
        let part_bytes = |part: &DocumentPart| {
            let text = 2 * part.name.capacity() + part.body.as_ref().map_or(0, String::capacity);
            text + size_of::<(String, DocumentPart)>()
        };
        self.parts.values().map(part_bytes).sum()
    }
}
