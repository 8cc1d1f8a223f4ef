//! Membership by gossip: announcement, failure detection and spreading of state.
