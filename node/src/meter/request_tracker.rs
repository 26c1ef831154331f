//! Following the requests on a client's connection through the bytes read: where each head and each body ends.

use super::MAX_HEAD_BYTES;
use crate::body::scanner::{BodyFraming, BodyScanner};

/// The name of the field that tells a body's length.
const LENGTH_FIELD: &[u8; LENGTH_FIELD_BYTES] = b"content-length";
const LENGTH_FIELD_BYTES: usize = 14;

/// How much of a line's field name has been compared with [`LENGTH_FIELD`].
#[derive(Clone, Copy)]
enum NameMatch {
    /// This number of bytes are alike.
    Prefix(usize),
    /// The name is another one, or is over.
    Over,
}

/// Scans the bytes of a request's head for its end.
struct HeadScanner {
    /// Whether any byte has been scanned.
    begun: bool,
    /// Whether a line that is not empty has been scanned. Empty lines may precede a request.
    has_line: bool,
    /// Whether the current line has nothing but white space so far.
    line_is_blank: bool,
    name: NameMatch,
    has_length: bool,
    complete: bool,
}

impl Default for HeadScanner {
    fn default() -> Self {
        HeadScanner {
            begun: false,
            has_line: false,
            line_is_blank: true,
            name: NameMatch::Prefix(0),
            has_length: false,
            complete: false,
        }
    }
}

impl HeadScanner {
    /// Scans bytes and returns those that follow the head.
    fn scan<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        self.begun |= !bytes.is_empty();
        for (index, byte) in bytes.iter().enumerate() {
            if self.complete {
                return &bytes[index..];
            }
            self.step(*byte);
        }
        &[]
    }

    fn step(&mut self, byte: u8) {
        match byte {
            b'\n' => self.end_line(),
            b':' => self.end_name(),
            _ => self.name = self.name_after(byte),
        }
        self.line_is_blank &= byte.is_ascii_whitespace();
        if byte == b'\n' {
            self.line_is_blank = true;
        }
    }

    fn name_after(&self, byte: u8) -> NameMatch {
        match self.name {
            // White space around a name does not belong to it.
            NameMatch::Prefix(0 | LENGTH_FIELD_BYTES) if byte.is_ascii_whitespace() => self.name,
            NameMatch::Prefix(matched) if LENGTH_FIELD.get(matched) == Some(&byte.to_ascii_lowercase()) => {
                NameMatch::Prefix(matched + 1)
            }
            _ => NameMatch::Over,
        }
    }

    fn end_name(&mut self) {
        self.has_length |= matches!(self.name, NameMatch::Prefix(matched) if matched == LENGTH_FIELD.len());
        self.name = NameMatch::Over;
    }

    fn end_line(&mut self) {
        self.end_name();
        self.complete = self.has_line && self.line_is_blank;
        self.has_line |= !self.line_is_blank;
        self.name = NameMatch::Prefix(0);
    }
}

/// Follows the requests on one connection. It is fed all bytes read, and told of each request by the HTTP library's
/// user: [`RequestTracker::begin_body`]. Of a head, only what has been found is kept.
#[derive(Default)]
pub struct RequestTracker {
    /// The head that follows the last body.
    head: HeadScanner,
    /// The bytes that have been read behind that head, before its request was reported.
    behind: Vec<u8>,
    /// Whether more than [`MAX_HEAD_BYTES`] have been read behind the head, so that `behind` is not complete.
    overflowed: bool,
    /// The body of the current request; `None` before the first request, and if its beginning is not known.
    body: Option<BodyScanner>,
}

impl RequestTracker {
    /// Takes the next bytes read from the connection.
    pub fn feed(&mut self, bytes: &[u8]) {
        let following = self.body.as_mut().map_or(bytes, |body| body.scan(bytes));
        let behind = self.head.scan(following);
        if self.overflowed || self.behind.len() + behind.len() > MAX_HEAD_BYTES {
            self.overflowed = true;
            return;
        }
        self.behind.extend_from_slice(behind);
    }

    /// Returns whether the head that has been read has a `content-length` field; `None` if no complete head has been
    /// read.
    pub fn head_has_length(&self) -> Option<bool> {
        self.head.complete.then_some(self.head.has_length)
    }

    /// Returns whether bytes have been read that follow the last body.
    pub fn next_head_begun(&self) -> bool {
        self.head.begun
    }

    /// Begins the body of the request whose head has been read. What follows this body belongs to the next request.
    pub fn begin_body(&mut self, framing: BodyFraming) {
        let known = self.head.complete && !self.overflowed;
        self.body = known.then(|| BodyScanner::new(framing));
        self.head = HeadScanner::default();
        self.overflowed = false;
        let read_already = std::mem::take(&mut self.behind);
        if known {
            self.feed(&read_already);
        }
    }

    /// Returns a scanner for the rest of the current request's body; `None` if the body's beginning is not known.
    pub fn body(&self) -> Option<BodyScanner> {
        self.body
    }
}
