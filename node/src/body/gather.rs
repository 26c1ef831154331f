//! Buffering a body until it is complete or turns out to be a long one.

use super::MAX_BUFFERED_BYTES;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{timeout_at, Instant};

/// The result of buffering a body.
pub enum Gathered {
    /// The complete body.
    Whole(Bytes),
    /// The bytes received so far, and the unread rest.
    Partial(Bytes, Incoming),
    /// The body ended prematurely or was malformed.
    Failed,
}

/// The bytes buffered so far. Most bodies arrive in one frame, which is kept without copying.
#[derive(Default)]
pub(super) struct Buffer {
    first: Bytes,
    joined: BytesMut,
}

impl Buffer {
    /// Returns the number of bytes buffered.
    pub(super) fn len(&self) -> usize {
        self.first.len() + self.joined.len()
    }

    /// Appends `data`.
    pub(super) fn push(&mut self, data: Bytes) {
        if self.len() == 0 {
            self.first = data;
            return;
        }
        if self.joined.is_empty() {
            self.joined.extend_from_slice(&std::mem::take(&mut self.first));
        }
        self.joined.extend_from_slice(&data);
    }

    /// Returns all bytes in one piece.
    pub(super) fn into_bytes(self) -> Bytes {
        if self.joined.is_empty() {
            self.first
        } else {
            self.joined.freeze()
        }
    }
}

/// Reads a body until it is complete, is longer than [`MAX_BUFFERED_BYTES`], or the time `until` is reached.
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
                // Trailers apply only to the connection that they arrived on and are not forwarded.
                if let Ok(data) = frame.into_data() {
                    buffer.push(data);
                }
            }
        }
    }
}
