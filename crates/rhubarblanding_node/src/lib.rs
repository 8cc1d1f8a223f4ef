//! The node daemon: listeners, peer connections, runtime, metrics and logs.
