//! Buffering a body until it is complete or turns out to be a long one.

use super::MAX_BUFFERED_BYTES;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{timeout_at, Instant};

/// By how much a buffer grows at least, in bytes.
const GROWTH_BYTES: usize = 16 * 1024;

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
    joined: Vec<u8>,
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
            let first = std::mem::take(&mut self.first);
            self.append(&first);
        }
        self.append(&data);
    }

    /// Appends to the joined bytes. A buffer that doubles would hold up to twice the memory that is reserved.
    fn append(&mut self, data: &[u8]) {
        if self.joined.capacity() - self.joined.len() < data.len() {
            self.joined.reserve_exact(data.len().max(GROWTH_BYTES));
        }
        self.joined.extend_from_slice(data);
    }

    /// Returns all bytes in one piece.
    pub(super) fn into_bytes(self) -> Bytes {
        if self.joined.is_empty() {
            self.first
        } else {
            self.joined.into()
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
