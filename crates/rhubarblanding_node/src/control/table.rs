//! Fetching the home table of a service from one of its targets.

use std::sync::Arc;

use rhubarblanding_once::prelude::HomeTable;

use super::method;
use crate::process::Shared;
use crate::version::ServiceState;

/// Number of targets that are asked for the table.
const TARGETS_ASKED: usize = 2;

/// Fetches the home table of `service` and adopts it if it is newer than the known one.
pub async fn fetch_table(node: &Arc<Shared>, service: &Arc<ServiceState>) {
    let mut asked = Vec::new();
    while asked.len() < TARGETS_ASKED {
        let now = node.clock.now();
        let Some(id) = service.pick(now, &node.settings.zone, &asked) else {
            // Without a target there is nobody to ask; the next call will look again.
            node.look_up(service.name());
            return;
        };
        asked.push(id.host);
        let answer: Result<Option<HomeTable>, _> =
            node.control.call(id.host, method::TABLE, [(); 0]).await;
        if let Ok(Some(table)) = answer
            && table.service() == service.name()
        {
            service.adopt_table(table);
            return;
        }
    }
}

/// Fetches the home table of `service` in the background.
pub fn refresh_table(node: &Arc<Shared>, service: &Arc<ServiceState>) {
    if !service.begin_refresh() {
        return;
    }
    let node = Arc::clone(node);
    let service = Arc::clone(service);
    tokio::spawn(async move {
        fetch_table(&node, &service).await;
        service.end_refresh();
    });
}
