//! Tasks that drive the membership: ticks, messages to other nodes, and events.

use std::sync::Arc;

use http::HeaderValue;
use rhubarblanding_core::prelude::*;
use rhubarblanding_membership::prelude::{Event, Health, Input, Output};
use rhubarblanding_node::process::ticks;
use rhubarblanding_routing::prelude::TargetId;
use tokio::sync::mpsc;

use super::shared::Shared;
use super::{configuration, departures, message};
use crate::request::GOSSIP_PATH;

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
            Output::Send { to, msg } => message::send(&node, to, GOSSIP_PATH, &msg),
            Output::Event(event) => on_event(&node, event),
        }
    }
}

fn on_target(node: &Arc<Shared>, event: &str, info: TargetInfo, health: Health) {
    log::info!(
        host:% = info.host, service:% = info.service, state:% = info.state,
        slots = info.slots, incarnation = info.incarnation.0, health:% = health;
        "{event}"
    );
    node.quotas.see(node.clock.now(), &info);
    departures::tell_host(node, &info);
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
            node.quotas.lose(node.clock.now(), host);
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

impl Shared {
    /// Sends no more requests for `service` to `target`, whose host refused request `id` because it runs
    /// another service, and asks that host what it is now.
    pub fn disown(&self, id: &HeaderValue, service: &ServiceName, target: TargetId) {
        if self.targets.disown(service, target) {
            self.log_other_service(id, service, target);
            self.member_input(Input::Contradicted {
                host: target.host,
                incarnation: target.incarnation,
            });
        }
    }

    /// Announces that this host has a target of another service from now on.
    pub(super) fn change_service(&self, before: &ServiceName, service: &ServiceName) {
        log::info!(before:% = before, service:% = service; "service_changed");
        self.local.forget_instance(self);
        self.member_input(Input::Service(service.clone()));
        self.announce();
    }
}

/// Returns the hosts of all other known nodes.
pub(super) fn other_nodes(node: &Shared) -> Vec<HostId> {
    let own = node.host_id();
    let hosts = node.with_member(|member| {
        let services = member.services();
        let targets = services.iter().flat_map(|service| member.targets(service));
        targets.map(|target| target.info.host).collect::<Vec<_>>()
    });
    hosts.into_iter().filter(|host| *host != own).collect()
}
