//! Loops of the membership: ticks, messages to peers, and events.

use std::sync::Arc;

use rhubarblanding_membership::prelude::{Event as MemberEvent, GossipMessage, Input, Output};
use tokio::sync::{mpsc, watch};

use super::counters::Event;
use super::documents;
use super::shared::Shared;
use super::ticks;
use crate::control::method;

/// Ticks the membership whenever it is due; runs for as long as the process.
pub async fn tick(node: Arc<Shared>) {
    ticks::run(node.clock, || {
        node.member_input(Input::Tick);
        node.with_member(|member| member.next_due())
    })
    .await;
}

/// Carries out what the membership decides; runs for as long as the process.
pub async fn carry_out(
    node: Arc<Shared>,
    mut outputs: mpsc::UnboundedReceiver<Output>,
    watching: watch::Sender<bool>,
) {
    while let Some(output) = outputs.recv().await {
        match output {
            Output::Send { to, msg } => send(&node, to, *msg),
            Output::Event(event) => on_event(&node, event, &watching),
        }
    }
}

fn send(node: &Arc<Shared>, to: rhubarblanding_core::ids::HostId, msg: GossipMessage) {
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let sent: Result<(), _> = node.control.call(to, method::GOSSIP, (msg,)).await;
        // A lost message is made good by later ones.
        node.count(match sent {
            Ok(()) => Event::ControlSent,
            Err(_) => Event::ControlLost,
        });
    });
}

fn on_event(node: &Arc<Shared>, event: MemberEvent, watching: &watch::Sender<bool>) {
    let now = node.clock.now();
    match event {
        MemberEvent::TargetUp { info, .. } | MemberEvent::TargetChanged { info, .. } => {
            node.services.get(now, &info.service).upsert(now, info);
        }
        MemberEvent::TargetDown { host, service, .. } => {
            log::info!("target {host} of {service} is down");
            node.services.get(now, &service).remove(host);
        }
        MemberEvent::NewerDocument { .. } => {}
        MemberEvent::DocumentReceived(document) => documents::received(node, document),
        MemberEvent::WatchStore(watch) => {
            watching.send_replace(watch);
        }
        MemberEvent::IncarnationRaised(incarnation) => {
            log::warn!(
                "this node was declared down; incarnation is now {}",
                incarnation.0
            );
        }
    }
}
