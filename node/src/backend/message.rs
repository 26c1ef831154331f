//! Requests on their way to a backend.

use crate::body::budget::Reservation;
use crate::body::upload::{RequestBody, Upload, UploadSource};
use crate::meter::Meter;
use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::header::{HeaderMap, HeaderValue, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Method, Request};
use std::rc::Rc;
use std::time::Duration;

/// Fields that concern one connection only and go no further.
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

/// Takes out of a message what concerns its own connection alone, and its framing.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named = headers.get(CONNECTION).and_then(|v| v.to_str().ok()).map(str::to_owned);
    for name in named.iter().flat_map(|v| v.split(',')) {
        headers.remove(name.trim());
    }
    HOP_BY_HOP.iter().for_each(|name| drop(headers.remove(*name)));
    headers.remove(CONTENT_LENGTH);
}

/// What is passed on of a client's request.
pub struct Message {
    pub method: Method,
    pub target: hyper::Uri,
    pub headers: HeaderMap,
    pub body: Payload,
    /// How long its client waits, counted from its last byte.
    pub client_wait: Duration,
    /// The connection that it came on.
    pub client: Rc<Meter>,
}

/// A client's body.
pub enum Payload {
    /// Held whole, with its part of what bodies may hold.
    Whole { body: Bytes, _reservation: Reservation },
    /// Still on its way; it can be sent once.
    Streamed(Rc<UploadSource>),
}

impl Payload {
    /// The source, where the body is passed on as it comes.
    pub(super) fn upload(&self) -> Option<Rc<UploadSource>> {
        match self {
            Payload::Whole { .. } => None,
            Payload::Streamed(source) => Some(source.clone()),
        }
    }

    /// Bytes that it takes on the wire; `None` until that is known.
    pub(super) fn framed(&self) -> Option<u64> {
        match self {
            Payload::Whole { body, .. } => Some(body.len() as u64),
            Payload::Streamed(source) => source.framed(),
        }
    }
}

impl Message {
    /// Whether it can't be sent from its beginning any more.
    pub fn body_consumed(&self) -> bool {
        matches!(&self.body, Payload::Streamed(source) if source.begun())
    }

    /// The time that a backend is told of what is left. That of a body that is still coming does not run yet.
    pub(super) fn time_to_tell(&self, left: Duration) -> Duration {
        left.min(self.client_wait)
    }

    /// The request for an attempt that is told to have so much time.
    pub(super) fn request(&self, told: Duration) -> Request<RequestBody> {
        let (body, length) = match &self.body {
            Payload::Whole { body, .. } => (Either::Left(Full::new(body.clone())), Some(body.len() as u64)),
            Payload::Streamed(source) => (Either::Right(Upload::new(source.clone())), source.length),
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        let headers = request.headers_mut();
        headers.clone_from(&self.headers);
        let told_ms = told.as_micros().div_ceil(1000) as u64;
        headers.insert("x-time-left-ms", told_ms.into());
        match length {
            Some(length) if self.method == Method::POST => {
                drop(headers.insert(CONTENT_LENGTH, length.into()))
            }
            Some(_) => {}
            None => drop(headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"))),
        }
        request
    }
}
