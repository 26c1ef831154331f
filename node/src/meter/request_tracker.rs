//! Following the requests on a client's connection through the bytes read: what each head contains, and where its body
//! ends.

use super::MAX_HEAD_BYTES;
use crate::body::scanner::{BodyFraming, BodyScanner};

/// The most bytes that are recorded from the start of a head: a whole head, and what the HTTP library reads together
/// with its end.
const MAX_RECORDED_BYTES: usize = 2 * MAX_HEAD_BYTES;

/// Follows the requests on one connection. It is fed all bytes read, and told of each request by the HTTP library's
/// user: [`RequestTracker::begin_body`].
#[derive(Default)]
pub struct RequestTracker {
    /// The bytes that follow the last body: the next head, and what has been read behind it.
    recorded: Vec<u8>,
    /// Whether more bytes than `MAX_RECORDED_BYTES` have followed, so that the recorded ones are not complete.
    overflowed: bool,
    /// The body of the current request; `None` before the first request, and if its beginning is not known.
    body: Option<BodyScanner>,
}

impl RequestTracker {
    /// Takes the next bytes read from the connection.
    pub fn feed(&mut self, bytes: &[u8]) {
        let following = self.body.as_mut().map_or(bytes, |body| body.scan(bytes));
        if self.overflowed || self.recorded.len() + following.len() > MAX_RECORDED_BYTES {
            self.overflowed = true;
            return;
        }
        self.recorded.extend_from_slice(following);
    }

    /// Returns whether the head that is recorded has the field `field`; `None` if no complete head is recorded.
    pub fn head_has_field(&self, field: &str) -> Option<bool> {
        let head = &self.recorded[..self.head_length()?];
        let mut names = head.split(|b| *b == b'\n').filter_map(|line| line.split(|b| *b == b':').next());
        Some(names.any(|name| name.trim_ascii().eq_ignore_ascii_case(field.as_bytes())))
    }

    /// Returns whether bytes have been read that follow the last body.
    pub fn next_head_begun(&self) -> bool {
        !self.recorded.is_empty()
    }

    /// Begins the body of the request whose head is recorded. What follows this body belongs to the next request.
    pub fn begin_body(&mut self, framing: BodyFraming) {
        let head_length = self.head_length().filter(|_| !self.overflowed);
        self.body = head_length.map(|_| BodyScanner::new(framing));
        let read_already = self.recorded.split_off(head_length.unwrap_or(self.recorded.len()));
        self.recorded.clear();
        self.overflowed = false;
        self.feed(&read_already);
    }

    /// Returns a scanner for the rest of the current request's body; `None` if the body's beginning is not known.
    pub fn body(&self) -> Option<BodyScanner> {
        self.body
    }

    /// The length of the recorded head in bytes, with empty lines before it and the one that ends it; `None` if it is
    /// not complete.
    fn head_length(&self) -> Option<usize> {
        let (mut length, mut began) = (0, false);
        for line in self.recorded.split_inclusive(|b| *b == b'\n').filter(|line| line.ends_with(b"\n")) {
            length += line.len();
            let is_empty = line.trim_ascii().is_empty();
            if began && is_empty {
                return Some(length);
            }
            began |= !is_empty;
        }
        None
    }
}
