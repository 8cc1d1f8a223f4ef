//! Opens metered connections to the service.

use std::pin::Pin;
use std::task::{Context, Poll};

use http::Uri;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use tower::Service;

use crate::metered::MeteredStream;

/// Opens connections on which an answer may take some bytes.
#[derive(Clone, Debug)]
pub(super) struct MeteredConnector {
    connector: HttpConnector,
    answer_bytes: u64,
}

impl MeteredConnector {
    pub(super) fn new(connector: HttpConnector, answer_bytes: u64) -> Self {
        Self {
            connector,
            answer_bytes,
        }
    }
}

type Connecting<E> = Pin<Box<dyn Future<Output = Result<TokioIo<MeteredStream>, E>> + Send>>;

impl Service<Uri> for MeteredConnector {
    type Response = TokioIo<MeteredStream>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Connecting<Self::Error>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.connector.poll_ready(cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let (connecting, answer_bytes) = (self.connector.call(uri), self.answer_bytes);
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            Ok(TokioIo::new(MeteredStream::new(stream, answer_bytes)))
        })
    }
}
