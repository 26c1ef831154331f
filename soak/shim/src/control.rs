//! The page of memory through which a process is told which of its system calls are to fail.
//!
//! The shim maps it for reading, the soak for writing. All fields are single words, so no lock is needed.

use std::sync::atomic::{AtomicI32, AtomicI64, AtomicU32};

/// The environment variable that names the file with the page.
pub const CONTROL_VARIABLE: &str = "SOAK_SHIM_CONTROL";
/// The file's size in bytes.
pub const CONTROL_BYTES: usize = 4096;

/// A system call that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum FaultPoint {
    /// `accept` and `accept4`.
    Accept,
    /// `socket`, for Internet sockets.
    Socket,
    /// `connect`, for Internet sockets.
    Connect,
    /// `recv`, for Internet sockets: fails.
    Receive,
    /// `recv`, for Internet sockets: gives a part of what has come.
    ShortReceive,
    /// `send` and `writev`, for Internet sockets: fails.
    Send,
    /// `send` and `writev`, for Internet sockets: takes a part.
    ShortSend,
    /// `epoll_wait`.
    EpollWait,
    /// `write` to standard error.
    LogWrite,
    /// `bind`, for Internet and Unix sockets.
    Bind,
}

/// How many fault points there are.
pub const FAULT_POINTS: usize = 10;

/// How often a call fails, and with which error.
#[repr(C)]
pub struct Fault {
    /// Failures in a thousand calls.
    pub per_mille: AtomicU32,
    /// The error that a failed call sets.
    pub errno: AtomicI32,
}

/// What the page holds.
#[repr(C)]
pub struct ControlPage {
    /// Added to the wall clock, in microseconds.
    pub wall_clock_offset_us: AtomicI64,
    /// One for each fault point.
    pub faults: [Fault; FAULT_POINTS],
}
