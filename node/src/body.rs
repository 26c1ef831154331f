//! Request and answer bodies. A small one is held whole, so that it can be sent again; a longer one is passed on frame
//! by frame, and nothing is kept of it: each side is read only as fast as the other side takes it.

pub mod answer_limit;
pub mod budget;
pub mod download;
pub mod gather;
pub mod interruption;
pub mod upload;

/// A body up to this long is held whole.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// No body may be longer than this.
pub const MAX_BODY_BYTES: u64 = 40 << 20;
