//! Loops and helpers that bring newer documents to this node.

use std::sync::Arc;

use rand::Rng;
use rhubarblanding_core::prelude::*;
use rhubarblanding_membership::prelude::{
    Document as SpreadDocument, DocumentPart as SpreadPart, Input,
};
use rhubarblanding_store::prelude::WatchSettings;
use rhubarblanding_tickets::DocumentPart;
use rhubarblanding_tickets::prelude::{Document, DocumentWatch};
use tokio::sync::watch;

use super::counters::Event;
use super::shared::Shared;
use crate::control::method;

/// Watches the document in the platform's service while the membership asks for it; runs for as
/// long as the process.
pub async fn watch_store(node: Arc<Shared>, mut watching: watch::Receiver<bool>) {
    loop {
        if watching.wait_for(|watching| *watching).await.is_err() {
            return;
        }
        log::info!("watching the document in the platform's service");
        let seed = rand::rng().random();
        let mut store = DocumentWatch::new(node.store.clone(), WatchSettings::default(), seed);
        loop {
            tokio::select! {
                document = store.next() => adopt(&node, document),
                _ = watching.wait_for(|watching| !*watching) => break,
            }
        }
    }
}

/// Adopts a document if it is newer, and spreads it.
pub fn adopt(node: &Arc<Shared>, document: Document) {
    let version = document.version();
    let parts = document.to_parts().into_iter().map(spread_part).collect();
    if node.document.offer(document) {
        node.count(Event::DocumentAdopted);
        node.registry.forget_calls();
        log::info!("document version {} is in force", version.0);
        node.member_input(Input::Document(SpreadDocument { version, parts }));
    }
}

/// Adopts a document that came from a peer.
pub fn received(node: &Arc<Shared>, spread: SpreadDocument) {
    let version = spread.version;
    let parts = spread.parts.into_iter().filter_map(document_part);
    match Document::from_parts(version, parts) {
        Ok(document) => adopt(node, document),
        Err(e) => log::warn!("document version {} not adopted: {e}", version.0),
    }
}

fn spread_part(part: DocumentPart) -> SpreadPart {
    SpreadPart {
        name: part.service.into(),
        version: part.version,
        body: Some(part.body),
    }
}

fn document_part(part: SpreadPart) -> Option<DocumentPart> {
    Some(DocumentPart {
        service: ServiceName::try_from(part.name).ok()?,
        version: part.version,
        body: part.body?,
    })
}

/// Fetches the document of a peer that has a newer one.
pub fn fetch(node: Arc<Shared>, from: HostId) {
    if !node.begin_fetch() {
        return;
    }
    tokio::spawn(async move {
        let fetched: Result<Document, _> = node.control.call(from, method::DOCUMENT, [(); 0]).await;
        node.end_fetch();
        if let Ok(document) = fetched {
            adopt(&node, document);
        }
    });
}
