//! Spreading of the operators' document.

use rhubarblanding_core::prelude::{DocVersion, HostId};

use super::{Cx, Membership};
use crate::document::Document;
use crate::io::Event;
use crate::message::Body;

impl Membership {
    /// Takes notice of the version that a peer holds, and asks for the document if it is newer.
    pub(super) fn note_document(&mut self, cx: &mut Cx<'_>, from: HostId, version: DocVersion) {
        if version <= self.document.version() || self.has_asked(cx, version) {
            return;
        }
        self.document_asked = Some((version, cx.now));
        cx.event(Event::NewerDocument { version, from });
        self.send(cx, from, Body::DocumentRequest(self.document.version()));
    }

    pub(super) fn on_document_request(&mut self, cx: &mut Cx<'_>, from: HostId, have: DocVersion) {
        let document = self.document.since(have);
        if document.version > have {
            self.send(cx, from, Body::Document(document));
        }
    }

    /// Takes in what a peer sent.
    pub(super) fn on_document(&mut self, cx: &mut Cx<'_>, document: Document) {
        if self.take_document(cx, document) {
            let received = self.document.to_document();
            cx.event(Event::DocumentReceived(received));
        }
    }

    /// Takes in what the owner read from the platform's service.
    pub(super) fn on_document_read(&mut self, cx: &mut Cx<'_>, document: Document) {
        self.take_document(cx, document);
    }

    fn take_document(&mut self, cx: &mut Cx<'_>, document: Document) -> bool {
        let check_version = self.settings.mechanisms.version_check;
        if !self.document.merge(document, check_version) {
            return false;
        }
        self.document_asked = None;
        self.version_rounds = self.settings.gossip_rounds;
        self.schedule_gossip(cx);
        true
    }

    fn has_asked(&self, cx: &Cx<'_>, version: DocVersion) -> bool {
        self.document_asked.is_some_and(|(asked, at)| {
            asked >= version && cx.now.since(at) < self.settings.request_timeout
        })
    }
}
