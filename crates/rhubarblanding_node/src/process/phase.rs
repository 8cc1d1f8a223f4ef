//! Life cycle of a node as a typestate, and its present phase for handlers to read.

use std::marker::PhantomData;

use rhubarblanding_core::prelude::*;
use tokio::sync::watch;

/// Marker of a node that opens its listeners.
#[derive(Debug)]
pub struct Starting;
/// Marker of a node that serves.
#[derive(Debug)]
pub struct Serving;
/// Marker of a node that finishes what it has.
#[derive(Debug)]
pub struct Draining;

/// The one owner of a node's phase; the type parameter is the phase.
#[derive(Debug)]
pub struct Lifecycle<P> {
    phase: watch::Sender<TargetState>,
    marker: PhantomData<P>,
}

impl<P> Lifecycle<P> {
    /// Reader of the phase for handlers.
    pub fn reader(&self) -> PhaseReader {
        PhaseReader(self.phase.subscribe())
    }

    fn enter<Q>(self, state: TargetState) -> Lifecycle<Q> {
        log::info!("node is {state}");
        self.phase.send_replace(state);
        Lifecycle {
            phase: self.phase,
            marker: PhantomData,
        }
    }
}

impl Lifecycle<Starting> {
    /// Begins the life cycle of a node.
    pub fn begin() -> Self {
        Self {
            phase: watch::Sender::new(TargetState::Starting),
            marker: PhantomData,
        }
    }

    /// The listeners are open.
    pub fn serve(self) -> Lifecycle<Serving> {
        self.enter(TargetState::Serving)
    }
}

impl Lifecycle<Serving> {
    /// A stop was asked for.
    pub fn drain(self) -> Lifecycle<Draining> {
        self.enter(TargetState::Draining)
    }
}

impl Lifecycle<Draining> {
    /// Every request in progress has ended.
    pub fn stop(self) {
        let _: Lifecycle<()> = self.enter(TargetState::Stopped);
    }
}

/// Reads the phase of a node.
#[derive(Clone, Debug)]
pub struct PhaseReader(watch::Receiver<TargetState>);

impl PhaseReader {
    /// The present phase.
    pub fn get(&self) -> TargetState {
        *self.0.borrow()
    }

    /// Whether new requests are taken.
    pub fn is_serving(&self) -> bool {
        self.get() == TargetState::Serving
    }

    /// Completes once the node is draining or stopped.
    pub async fn draining(&mut self) {
        // An error means that the owner is gone, which is later than draining.
        let _ = self
            .0
            .wait_for(|state| *state >= TargetState::Draining)
            .await;
    }
}
