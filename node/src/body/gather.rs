//! Reading a body until it is whole or proves to be a long one.

use super::MAX_BUFFERED_BYTES;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{timeout_at, Instant};

/// What came of gathering a body.
pub enum Gathered {
    /// All of it.
    Whole(Bytes),
    /// What has come so far, and the rest.
    Partial(Bytes, Incoming),
    /// It broke off, or it was malformed.
    Failed,
}

/// The bytes gathered so far. Most bodies come in one frame, which is kept as it is.
#[derive(Default)]
struct Buffer {
    first: Bytes,
    joined: BytesMut,
}

impl Buffer {
    fn len(&self) -> usize {
        self.first.len() + self.joined.len()
    }

    fn push(&mut self, data: Bytes) {
        if self.len() == 0 {
            self.first = data;
            return;
        }
        if self.joined.is_empty() {
            self.joined.extend_from_slice(&std::mem::take(&mut self.first));
        }
        self.joined.extend_from_slice(&data);
    }

    fn into_bytes(self) -> Bytes {
        if self.joined.is_empty() {
            self.first
        } else {
            self.joined.freeze()
        }
    }
}

/// Reads a body until it is whole, is longer than `MAX_BUFFERED_BYTES`, or the time is up.
pub async fn gather(mut body: Incoming, until: Option<Instant>) -> Gathered {
    let mut buffer = Buffer::default();
    loop {
        if body.is_end_stream() {
            return Gathered::Whole(buffer.into_bytes());
        }
        if buffer.len() > MAX_BUFFERED_BYTES {
            return Gathered::Partial(buffer.into_bytes(), body);
        }
        let frame = match until {
            None => body.frame().await,
            Some(until) => match timeout_at(until, body.frame()).await {
                Ok(frame) => frame,
                Err(_) => return Gathered::Partial(buffer.into_bytes(), body),
            },
        };
        match frame {
            None => return Gathered::Whole(buffer.into_bytes()),
            Some(Err(_)) => return Gathered::Failed,
            Some(Ok(frame)) => {
                // Trailers concern the connection that they came on, and go no further.
                if let Ok(data) = frame.into_data() {
                    buffer.push(data);
                }
            }
        }
    }
}
