//! Spreading of the operators' document.

use rhubarblanding_core::prelude::{DocVersion, HostId};

use super::{Cx, Membership};
use crate::document::Document;
use crate::io::Event;
use crate::message::Body;

impl Membership {
    /// Requests the document from a peer that holds a newer version.
    pub(super) fn check_document_version(
        &mut self,
        cx: &mut Cx<'_>,
        from: HostId,
        version: DocVersion,
    ) {
        if version <= self.document.version() || self.has_requested(cx, version) {
            return;
        }
        self.document_requested = Some((version, cx.now));
        cx.event(Event::NewerDocument { version, from });
        self.send(cx, from, Body::DocumentRequest(self.document.version()));
    }

    pub(super) fn on_document_request(&mut self, cx: &mut Cx<'_>, from: HostId, have: DocVersion) {
        let document = self.document.since(have);
        if document.version > have {
            self.send(cx, from, Body::Document(document));
        }
    }

    /// Merges a document sent by a peer.
    pub(super) fn on_document(&mut self, cx: &mut Cx<'_>, document: Document) {
        if self.merge_document(cx, document) {
            let received = self.document.to_document();
            cx.event(Event::DocumentReceived(received));
        }
    }

    /// Merges a document that the owner read from the key-value service.
    pub(super) fn on_document_read(&mut self, cx: &mut Cx<'_>, document: Document) {
        self.merge_document(cx, document);
    }

    fn merge_document(&mut self, cx: &mut Cx<'_>, document: Document) -> bool {
        let check_version = self.settings.mechanisms.version_check;
        if !self.document.merge(document, check_version) {
            return false;
        }
        self.document_requested = None;
        self.version_rounds_left = self.settings.gossip_rounds;
        self.schedule_gossip(cx);
        true
    }

    fn has_requested(&self, cx: &Cx<'_>, version: DocVersion) -> bool {
        self.document_requested.is_some_and(|(requested, at)| {
            requested >= version && cx.now.since(at) < self.settings.request_timeout
        })
    }
}
