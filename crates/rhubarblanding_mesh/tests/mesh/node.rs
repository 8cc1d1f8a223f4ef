//! A node with a runtime of its own, which ends as a process does: with all its connections.

use std::sync::Arc;

use rhubarblanding_mesh::prelude::*;
use tokio::sync::oneshot;

use super::protocol::TestProtocol;

/// A running node. Dropping it stops it gracefully.
pub struct Node {
    stop: Option<oneshot::Sender<()>>,
    kill: Option<oneshot::Sender<()>>,
    ended: Option<oneshot::Receiver<()>>,
}

impl Node {
    /// Starts a node and waits until it listens.
    pub async fn start(settings: MeshSettings) -> Self {
        let (stop, stopped) = oneshot::channel();
        let (kill, killed) = oneshot::channel();
        let (started_tx, started) = oneshot::channel();
        let (ended_tx, ended) = oneshot::channel::<()>();
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
                let killed = async {
                    if killed.await.is_err() {
                        std::future::pending::<()>().await;
                    }
                };
                tokio::select! {
                    () = mesh.run_until(stopped) => {}
                    () = killed => {}
                }
            });
            runtime.shutdown_background();
            drop(ended_tx);
        });
        started.await.expect("a node that listens");
        Self {
            stop: Some(stop),
            kill: Some(kill),
            ended: Some(ended),
        }
    }

    /// Starts a graceful stop.
    pub fn stop(&mut self) {
        drop(self.stopper());
    }

    /// Returns what stops the node gracefully when it is dropped.
    pub fn stopper(&mut self) -> Option<oneshot::Sender<()>> {
        self.stop.take()
    }

    /// Ends the node at once; the receiver tells when it has ended.
    pub fn kill(&mut self) -> oneshot::Receiver<()> {
        if let Some(kill) = self.kill.take() {
            let _ = kill.send(());
        }
        let (_, gone) = oneshot::channel();
        self.ended.take().unwrap_or(gone)
    }
}
