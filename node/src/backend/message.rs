//! Requests as they are forwarded to backends.

use crate::body::upload::{RequestBody, Upload, UploadSource};
use crate::memory::budget::Reservation;
use crate::meter::Meter;
use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::header::{HeaderMap, HeaderValue, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Method, Request};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Hop-by-hop header fields, which are not forwarded.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "expect",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes the hop-by-hop header fields, those named in `connection`, and `content-length`.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named = headers.get(CONNECTION).and_then(|v| v.to_str().ok()).map(str::to_owned);
    for name in named.iter().flat_map(|v| v.split(',')) {
        headers.remove(name.trim());
    }
    HOP_BY_HOP.iter().for_each(|name| drop(headers.remove(*name)));
    headers.remove(CONTENT_LENGTH);
}

/// The parts of a client's request that are forwarded to a backend.
pub struct Message {
    /// The request method.
    pub method: Method,
    /// The request target.
    pub target: hyper::Uri,
    /// The header fields without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// The request body.
    pub body: Payload,
    /// How long the client waits for a response, counted from the last byte of its request.
    pub client_wait: Duration,
    /// The client's connection.
    pub client: Rc<Meter>,
    /// Whether the request has its final result, so that it must not be sent any more.
    pub answered: Cell<bool>,
}

/// The body of a client's request.
pub enum Payload {
    /// Buffered whole, so that it can be sent again.
    Whole {
        /// The bytes of the body.
        body: Bytes,
        /// The memory reserved for them.
        _reservation: Reservation,
    },
    /// Streamed while it is being received; it can be sent only once.
    Streamed(Rc<UploadSource>),
}

impl Payload {
    /// Returns the source of a streamed body.
    pub(super) fn upload_source(&self) -> Option<Rc<UploadSource>> {
        match self {
            Payload::Whole { .. } => None,
            Payload::Streamed(source) => Some(source.clone()),
        }
    }

    /// Returns the number of bytes that the body takes on the wire, including chunk framing; `None` until it is
    /// known.
    pub(super) fn framed_length(&self) -> Option<u64> {
        match self {
            Payload::Whole { body, .. } => Some(body.len() as u64),
            Payload::Streamed(source) => source.framed_length(),
        }
    }
}

impl Message {
    /// Returns whether the body can no longer be sent from its beginning.
    pub fn body_consumed(&self) -> bool {
        matches!(&self.body, Payload::Streamed(source) if source.started())
    }

    /// Returns the time that a backend is told it has, given the `time_left` until the deadline. It is at most
    /// `client_wait`: while the body is still being received, the client's wait has not begun, and the deadline may be
    /// further off.
    pub(super) fn announced_time(&self, time_left: Duration) -> Duration {
        time_left.min(self.client_wait)
    }

    /// Builds the request of an attempt, with `announced_time` in its `x-time-left-ms` field, rounded up to a
    /// millisecond. Returns `None` if the body can't be sent from its beginning: another attempt has taken it.
    pub(super) fn request(&self, announced_time: Duration) -> Option<Request<RequestBody>> {
        let (body, length) = match &self.body {
            Payload::Whole { body, .. } => (Either::Left(Full::new(body.clone())), Some(body.len() as u64)),
            Payload::Streamed(source) => (Either::Right(Upload::claim(source)?), source.length),
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        let headers = request.headers_mut();
        headers.clone_from(&self.headers);
        let announced_ms = announced_time.as_micros().div_ceil(1000) as u64;
        headers.insert("x-time-left-ms", announced_ms.into());
        match length {
            Some(length) if self.method == Method::POST => {
                drop(headers.insert(CONTENT_LENGTH, length.into()))
            }
            Some(_) => {}
            None => drop(headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"))),
        }
        Some(request)
    }
}
