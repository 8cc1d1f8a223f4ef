//! Way of one node to the key-value service, which can be closed.

use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Forwards connections to another address until it is closed.
pub struct Gate {
    pub addr: SocketAddr,
    closed: watch::Sender<bool>,
}

impl Gate {
    pub async fn start(to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let closed = watch::Sender::new(false);
        let is_closed = closed.subscribe();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut is_closed = is_closed.clone();
                tokio::spawn(async move {
                    let forward = async {
                        let mut store = TcpStream::connect(to).await?;
                        tokio::io::copy_bidirectional(&mut stream, &mut store).await
                    };
                    tokio::select! {
                        _ = forward => {}
                        _ = is_closed.wait_for(|closed| *closed) => {}
                    }
                });
            }
        });
        Ok(Self { addr, closed })
    }

    /// Lets connections through again.
    pub fn open(&self) {
        self.closed.send_replace(false);
    }

    /// Cuts all connections, also those that are opened from now on.
    pub fn close(&self) {
        self.closed.send_replace(true);
    }
}
