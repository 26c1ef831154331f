//! The division of the configured memory among what a process holds for others. What is left over is for the process
//! itself: its code, the list of backends, and memory that the allocator can't reuse at the moment.

pub mod budget;
pub mod gauge;
pub mod resident;

use hyper::http::request::Parts;

/// Bodies of requests may hold the memory divided by this number, and those of responses as much again.
const BODY_DIVISOR: usize = 8;
/// Requests in progress, without their bodies, may hold the memory divided by this number.
const REQUEST_DIVISOR: usize = 4;
/// Connections of clients may hold the memory divided by this number.
const CONNECTION_DIVISOR: usize = 4;
/// The customers that are known may hold the memory divided by this number.
const CUSTOMER_DIVISOR: usize = 16;
/// Idle connections to backends may hold the memory divided by this number.
const IDLE_BACKEND_CONNECTION_DIVISOR: usize = 16;
/// What an idle connection to a backend holds: its buffers and its task.
pub const IDLE_BACKEND_CONNECTION_BYTES: usize = 21 * 1024;
/// What a client's connection holds at most before a request is taken from it: buffers for a whole head and for writing.
const CONNECTION_BYTES: usize = 23 * 1024;
/// What a customer takes with its entries in all tables.
const CUSTOMER_BYTES: usize = 1024;
/// What a request holds apart from its header fields: buffers for reading on and for passing on, here and on the connection
/// to its backend, and its entries in all tables.
const REQUEST_BYTES: usize = 28 * 1024;
/// What a request holds besides while its body is streamed: pieces that have been read, and wait for its backend.
pub const STREAMED_BODY_BYTES: usize = 56 * 1024;
/// What a header field takes apart from its name and value, here and in the copy for an attempt.
const FIELD_BYTES: usize = 320;
/// How often the bytes of a head are held: as read, as copied for an attempt, and as written.
const HEAD_COPIES: usize = 3;

/// The memory that is set aside for each purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// The bytes that all buffered request bodies may hold.
    pub request_bodies: usize,
    /// The bytes that all buffered response bodies may hold.
    pub response_bodies: usize,
    /// The bytes that all requests in progress may hold.
    pub requests: usize,
    /// The maximum number of client connections.
    pub client_connections: usize,
    /// The bytes that all idle connections to backends may hold. Those in use belong to requests in progress.
    pub idle_backend_connections: usize,
    /// The maximum number of known customers.
    pub customers: usize,
}

impl MemoryLimits {
    /// Divides `bytes` of memory.
    pub fn divide(bytes: usize) -> Self {
        MemoryLimits {
            request_bodies: bytes / BODY_DIVISOR,
            response_bodies: bytes / BODY_DIVISOR,
            requests: bytes / REQUEST_DIVISOR,
            client_connections: bytes / CONNECTION_DIVISOR / CONNECTION_BYTES,
            idle_backend_connections: bytes / IDLE_BACKEND_CONNECTION_DIVISOR,
            customers: bytes / CUSTOMER_DIVISOR / CUSTOMER_BYTES,
        }
    }
}

/// Returns how much memory a request with this head holds, apart from its body.
pub fn request_bytes(head: &Parts) -> usize {
    let field_bytes = |(name, value): (&hyper::header::HeaderName, &hyper::header::HeaderValue)| {
        FIELD_BYTES + HEAD_COPIES * (name.as_str().len() + value.len())
    };
    REQUEST_BYTES + head.headers.iter().map(field_bytes).sum::<usize>()
}
