//! Ends of request heads in the bytes of a connection, as the HTTP library's own parser finds them.

use std::mem::MaybeUninit;

use http::header::{HeaderName, HeaderValue};
use http::{Method, Request, Uri};

/// Maximum number of headers: the HTTP library's own limit.
const HEADERS_MAX: usize = 100;

/// Extent of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// `GET` or `HEAD` without a body: may be passed on ahead of its turn.
    Plain,
    /// Body of this number of bytes.
    Sized(u64),
    /// Only the HTTP library knows the extent, or the connection ends with the request.
    Other,
    /// `Transfer-Encoding` beside `Content-Length`: two readers may see different requests.
    Conflicting,
}

/// Result of parsing the bytes at the start of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Parsed {
    /// Complete head of this number of bytes.
    Head(usize, Framing),
    /// Start of a head.
    Partial,
    /// Not a head.
    Invalid,
}

/// Finds the end of the head that `bytes` begin with, and the extent of its request.
pub(super) fn parse(bytes: &[u8]) -> Parsed {
    let mut headers = [const { MaybeUninit::uninit() }; HEADERS_MAX];
    let mut head = httparse::Request::new(&mut []);
    match head.parse_with_uninit_headers(bytes, &mut headers) {
        Ok(httparse::Status::Complete(len)) => Parsed::Head(len, framing(&head)),
        Ok(httparse::Status::Partial) => Parsed::Partial,
        Err(_) => Parsed::Invalid,
    }
}

/// Returns the request that `bytes` begin with, and the length of its head, if it is complete and
/// [`Framing::Plain`].
pub(super) fn plain_request(bytes: &[u8]) -> Option<(usize, Request<()>)> {
    let mut headers = [const { MaybeUninit::uninit() }; HEADERS_MAX];
    let mut head = httparse::Request::new(&mut []);
    let parsed = head.parse_with_uninit_headers(bytes, &mut headers);
    let Ok(httparse::Status::Complete(len)) = parsed else {
        return None;
    };
    if framing(&head) != Framing::Plain {
        return None;
    }
    let mut req = Request::new(());
    *req.method_mut() = Method::from_bytes(head.method?.as_bytes()).ok()?;
    *req.uri_mut() = Uri::try_from(head.path?).ok()?;
    for header in head.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(header.value).ok()?;
        req.headers_mut().append(name, value);
    }
    Some((len, req))
}

fn framing(head: &httparse::Request<'_, '_>) -> Framing {
    let mut length = None;
    let (mut is_sized, mut is_encoded, mut is_other) = (false, false, head.version != Some(1));
    for header in head.headers.iter() {
        let is = |name: &str| header.name.eq_ignore_ascii_case(name);
        if is("content-length") {
            is_other |= is_sized;
            is_sized = true;
            length = content_length(header.value);
        } else if is("transfer-encoding") {
            is_encoded = true;
        } else if is("connection") {
            is_other |= !header.value.eq_ignore_ascii_case(b"keep-alive");
        } else if is("upgrade") || is("expect") {
            is_other = true;
        }
    }
    match (is_sized, is_encoded, length) {
        (true, true, _) => Framing::Conflicting,
        (_, true, _) | (true, _, None) => Framing::Other,
        _ if is_other || head.method == Some("CONNECT") => Framing::Other,
        (true, _, Some(length)) => Framing::Sized(length),
        (false, ..) if matches!(head.method, Some("GET" | "HEAD")) => Framing::Plain,
        (false, ..) => Framing::Sized(0),
    }
}

fn content_length(value: &[u8]) -> Option<u64> {
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    is_number
        .then(|| std::str::from_utf8(value).ok()?.parse().ok())
        .flatten()
}
