//! Tasks that drive the membership: ticks, messages to other nodes, and events.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Uri};
use http_body_util::Full;
use rhubarblanding_core::prelude::*;
use rhubarblanding_membership::prelude::{Event, GossipMessage, Health, Input, Output};
use rhubarblanding_node::process::ticks;
use tokio::sync::mpsc;

use super::configuration;
use super::shared::Shared;
use crate::request::GOSSIP_PATH;

/// Time after which a message counts as lost.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Ticks the membership whenever it is due; runs until the process ends.
pub async fn tick(node: Arc<Shared>) {
    ticks::run(node.clock, || {
        node.member_input(Input::Tick);
        node.with_member(|member| member.next_due())
    })
    .await;
}

/// Sends the messages and handles the events of the membership; runs until the process ends.
pub async fn execute_outputs(node: Arc<Shared>, mut outputs: mpsc::UnboundedReceiver<Output>) {
    while let Some(output) = outputs.recv().await {
        match output {
            Output::Send { to, msg } => send(&node, to, &msg),
            Output::Event(event) => on_event(&node, event),
        }
    }
}

fn send(node: &Arc<Shared>, to: HostId, msg: &GossipMessage) {
    let body = match serde_json::to_vec(msg) {
        Ok(body) => Bytes::from(body),
        Err(e) => return log::warn!(reason:% = e; "gossip_not_encoded"),
    };
    let uri = Uri::builder()
        .scheme("http")
        .authority(to.to_string())
        .path_and_query(GOSSIP_PATH)
        .build();
    let Ok(uri) = uri else {
        return log::warn!(host:% = to; "gossip_address_invalid");
    };
    let mut req = Request::new(Full::new(body));
    *req.method_mut() = Method::POST;
    *req.uri_mut() = uri;
    let node = Arc::clone(node);
    tokio::spawn(async move {
        // Later messages make up for a lost one.
        let _ = tokio::time::timeout(SEND_TIMEOUT, node.peers.send(to.0, req)).await;
    });
}

fn on_target(node: &Shared, event: &str, info: TargetInfo, health: Health) {
    log::info!(
        host:% = info.host, service:% = info.service, state:% = info.state,
        slots = info.slots, incarnation = info.incarnation.0, health:% = health;
        "{event}"
    );
    node.targets.upsert(info);
}

fn on_event(node: &Arc<Shared>, event: Event) {
    match event {
        Event::TargetUp { info, health } => on_target(node, "target_up", info, health),
        Event::TargetChanged { info, health } => on_target(node, "target_changed", info, health),
        Event::TargetDown {
            host,
            incarnation,
            service,
        } => {
            log::info!(
                host:% = host, service:% = service, incarnation = incarnation.0;
                "target_down"
            );
            node.targets.remove(&service, host);
        }
        Event::NewerDocument { version, from } => {
            log::info!(version = version.0, host:% = from; "configuration_newer_at_peer");
        }
        Event::DocumentReceived(document) => configuration::adopt_from_peer(node, document),
        Event::WatchStore(_) => {}
        Event::IncarnationRaised(incarnation) => {
            log::warn!(incarnation = incarnation.0; "declared_down_while_alive");
        }
    }
}
