//! A node with a runtime of its own, which ends as a process does: with all its connections.

use std::sync::Arc;

use rhubarblanding_mesh::prelude::*;
use tokio::sync::oneshot;

use super::protocol::TestProtocol;

/// A running node. Dropping it stops it gracefully.
pub struct Node {
    stop: Option<oneshot::Sender<()>>,
}

impl Node {
    /// Starts a node and waits until it listens.
    pub async fn start(settings: MeshSettings) -> Self {
        let (stop, stopped) = oneshot::channel();
        let (started_tx, started) = oneshot::channel();
        std::thread::spawn(move || {
            let mut builder = tokio::runtime::Builder::new_current_thread();
            let runtime = builder.enable_all().build().expect("a runtime");
            runtime.block_on(async {
                let reloaded = settings.clone();
                let source = Box::new(move || Ok(reloaded.clone()));
                let protocol = Arc::new(TestProtocol::default());
                let mesh = Mesh::start(settings, protocol, source).expect("a node");
                let _ = started_tx.send(());
                let stopped = async {
                    // The sender is dropped to stop the node.
                    let _ = stopped.await;
                };
                mesh.run_until(stopped).await;
            });
            runtime.shutdown_background();
        });
        started.await.expect("a node that listens");
        Self { stop: Some(stop) }
    }

    /// Starts a graceful stop.
    pub fn stop(&mut self) {
        drop(self.stopper());
    }

    /// Returns what stops the node gracefully when it is dropped.
    pub fn stopper(&mut self) -> Option<oneshot::Sender<()>> {
        self.stop.take()
    }
}
