//! Request and response bodies. A small body is buffered whole, so that its request can be sent again. A longer one
//! is streamed frame by frame without being kept: each side is read only as fast as the other side accepts the data.

pub mod answer_limit;
pub mod download;
pub mod forwarding;
pub mod gather;
pub mod interruption;
pub mod scanner;
pub mod upload;

/// The largest body that is buffered whole, in bytes.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// The largest body that is accepted at all, in bytes.
pub const MAX_BODY_BYTES: u64 = 40 << 20;
