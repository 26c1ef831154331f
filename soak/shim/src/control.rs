//! The shared memory page that tells a process which of its system calls must fail.
//!
//! The shim maps it for reading, the soak for writing. All fields are single atomic words, so no lock is needed.

use std::sync::atomic::{AtomicI32, AtomicI64, AtomicU32};

/// The environment variable with the path of the page's file.
pub const CONTROL_VARIABLE: &str = "SOAK_SHIM_CONTROL";
/// The size of the file in bytes.
pub const CONTROL_BYTES: usize = 4096;

/// A system call that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum FaultPoint {
    /// `accept4` on Internet sockets fails.
    Accept,
    /// `socket` for Internet sockets fails.
    Socket,
    /// `connect` on Internet sockets fails.
    Connect,
    /// `recv` on Internet sockets fails.
    Receive,
    /// `recv` on Internet sockets returns only a part of the received bytes.
    ShortReceive,
    /// `send` and `writev` on Internet sockets fail.
    Send,
    /// `send` and `writev` on Internet sockets take only a part of the bytes.
    ShortSend,
    /// `epoll_wait` fails.
    EpollWait,
    /// `write` and `writev` to standard error fail.
    LogWrite,
    /// `bind` on Internet and Unix sockets fails.
    Bind,
}

/// The number of fault points.
pub const FAULT_POINTS: usize = 10;

/// How often calls at one fault point fail, and with which error.
#[repr(C)]
pub struct Fault {
    /// Failures per 1000 calls; 0 means that no call fails.
    pub per_mille: AtomicU32,
    /// The `errno` of a failed call; without meaning for short reads and writes.
    pub errno: AtomicI32,
}

/// The contents of the page. All zeros, as in a new file, mean that nothing fails.
#[repr(C)]
pub struct ControlPage {
    /// The offset of the wall clock in microseconds, added to the real time.
    pub wall_clock_offset_us: AtomicI64,
    /// The fault of each fault point, indexed by `FaultPoint`.
    pub faults: [Fault; FAULT_POINTS],
}
