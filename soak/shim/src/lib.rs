//! System calls of the process under test, passed on to the kernel or made to fail as the control page says.
//!
//! The library is loaded with `LD_PRELOAD`, so its functions replace those of the C library. They make the system
//! calls directly, so the replaced functions need not be looked up. Without a control page no call fails.

mod control;

use control::{ControlPage, FaultPoint, CONTROL_BYTES, CONTROL_VARIABLE};
use libc::{c_int, c_long, c_void, iovec, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::cell::Cell;
use std::ffi::CString;
use std::os::unix::ffi::OsStringExt;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::OnceLock;

const NANOSECONDS_PER_SECOND: i64 = 1_000_000_000;
/// Descriptors from this number on are not tracked and count as not accepted.
const MAX_TRACKED_DESCRIPTORS: usize = 4096;

/// The mapped control page.
struct Page(*const ControlPage);

// SAFETY: the page is never unmapped, and all of it is atomic words.
unsafe impl Send for Page {}
// SAFETY: as above.
unsafe impl Sync for Page {}

/// Returns the control page, which is mapped at the first call; `None` if there is none.
fn page() -> Option<&'static ControlPage> {
    static PAGE: OnceLock<Option<Page>> = OnceLock::new();
    let page = PAGE.get_or_init(map_page).as_ref()?;
    // SAFETY: the mapping is at least as long as `ControlPage`, aligned for it, and never unmapped.
    Some(unsafe { &*page.0 })
}

/// Maps the file that the environment names.
fn map_page() -> Option<Page> {
    let path = CString::new(std::env::var_os(CONTROL_VARIABLE)?.into_vec()).ok()?;
    // SAFETY: plain system calls on a path that ends in a zero byte; the results are checked.
    unsafe {
        let file = libc::open(path.as_ptr(), libc::O_RDONLY | libc::O_CLOEXEC);
        if file < 0 {
            return None;
        }
        let address =
            libc::mmap(std::ptr::null_mut(), CONTROL_BYTES, libc::PROT_READ, libc::MAP_SHARED, file, 0);
        libc::close(file);
        (address != libc::MAP_FAILED).then_some(Page(address.cast()))
    }
}

thread_local! {
    /// The state of this thread's random numbers; 0 until the first one.
    static RANDOM: Cell<u64> = const { Cell::new(0) };
}

/// Returns the next of this thread's random numbers of 32 bits (xorshift64*, Vigna 2016).
fn random() -> u64 {
    RANDOM.with(|state| {
        let mut x = state.get();
        if x == 0 {
            // SAFETY: `getpid` has no arguments and cannot fail.
            x = u64::from(unsafe { libc::getpid() } as u32) | 1 << 40;
        }
        x ^= x >> 12;
        x ^= x << 25;
        x ^= x >> 27;
        state.set(x);
        x.wrapping_mul(0x2545_F491_4F6C_DD1D) >> 32
    })
}

/// Draws whether a call fails, and returns the error that it fails with.
fn draw_fault(point: FaultPoint) -> Option<c_int> {
    let fault = &page()?.faults[point as usize];
    let per_mille = u64::from(fault.per_mille.load(Relaxed));
    (per_mille > 0 && random() % 1000 < per_mille).then(|| fault.errno.load(Relaxed))
}

/// Sets `errno` and returns the result of a failed call.
fn fail_with(errno: c_int) -> c_int {
    // SAFETY: the location belongs to this thread.
    unsafe { *libc::__errno_location() = errno };
    -1
}

/// Whether this is an IPv4 socket. Calls on the async runtime's own pipes must not fail: Linux documents none of these
/// errors for them.
fn is_internet(fd: c_int) -> bool {
    let mut domain: c_int = 0;
    let mut size = std::mem::size_of::<c_int>() as socklen_t;
    let option = std::ptr::from_mut(&mut domain).cast();
    // SAFETY: both pointers refer to live values of the stated sizes.
    let result = unsafe { libc::getsockopt(fd, libc::SOL_SOCKET, libc::SO_DOMAIN, option, &mut size) };
    result == 0 && domain == libc::AF_INET
}

/// One bit for each tracked descriptor: set if it was accepted from a listener.
static ACCEPTED: [AtomicU64; MAX_TRACKED_DESCRIPTORS / 64] =
    [const { AtomicU64::new(0) }; MAX_TRACKED_DESCRIPTORS / 64];

/// Records whether a descriptor was accepted. Does nothing for a failed call's -1.
fn mark_accepted(fd: c_int, accepted: bool) {
    let Some(index) = usize::try_from(fd).ok().filter(|fd| *fd < MAX_TRACKED_DESCRIPTORS) else { return };
    let bit = 1 << (index % 64);
    if accepted {
        ACCEPTED[index / 64].fetch_or(bit, Relaxed);
    } else {
        ACCEPTED[index / 64].fetch_and(!bit, Relaxed);
    }
}

/// Whether the socket was accepted from a listener, so that its peer is a client. Broken paths are simulated only on
/// connections that this process opened: on a real broken path a client would see nothing more, but over the loopback
/// it would see its connection closed without an answer, which the oracle would report.
fn was_accepted(fd: c_int) -> bool {
    let index = usize::try_from(fd).ok().filter(|fd| *fd < MAX_TRACKED_DESCRIPTORS);
    index.is_some_and(|index| ACCEPTED[index / 64].load(Relaxed) & 1 << (index % 64) != 0)
}

/// Accepts a connection and tracks its descriptor, or fails as drawn for `FaultPoint::Accept`.
///
/// # Safety
/// As for `accept4(2)`.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    size: *mut socklen_t,
    flags: c_int,
) -> c_int {
    match draw_fault(FaultPoint::Accept).filter(|_| is_internet(fd)) {
        Some(errno) => fail_with(errno),
        None => {
            let accepted_fd = libc::syscall(libc::SYS_accept4, fd, address, size, flags) as c_int;
            mark_accepted(accepted_fd, true);
            accepted_fd
        }
    }
}

/// Creates a socket, or fails as drawn for `FaultPoint::Socket`. The descriptor no longer counts as accepted.
///
/// # Safety
/// As for `socket(2)`.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    match draw_fault(FaultPoint::Socket).filter(|_| domain == libc::AF_INET) {
        Some(errno) => fail_with(errno),
        None => {
            let created_fd = libc::syscall(libc::SYS_socket, domain, kind, protocol) as c_int;
            mark_accepted(created_fd, false);
            created_fd
        }
    }
}

/// Binds a socket, or fails as drawn for `FaultPoint::Bind`.
///
/// # Safety
/// As for `bind(2)`.
#[no_mangle]
pub unsafe extern "C" fn bind(fd: c_int, address: *const sockaddr, size: socklen_t) -> c_int {
    match draw_fault(FaultPoint::Bind) {
        Some(errno) => fail_with(errno),
        None => libc::syscall(libc::SYS_bind, fd, address, size) as c_int,
    }
}

/// Connects a socket, or fails as drawn for `FaultPoint::Connect`.
///
/// # Safety
/// As for `connect(2)`.
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, size: socklen_t) -> c_int {
    match draw_fault(FaultPoint::Connect).filter(|_| is_internet(fd)) {
        Some(errno) => fail_with(errno),
        None => libc::syscall(libc::SYS_connect, fd, address, size) as c_int,
    }
}

/// Receives bytes, all or only 1 to 64 of them, or fails, as drawn for `FaultPoint::ShortReceive` and
/// `FaultPoint::Receive`. On accepted connections it fails with `EINTR` only.
///
/// # Safety
/// As for `recv(2)`.
#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, size: size_t, flags: c_int) -> ssize_t {
    let no_address: *mut c_void = std::ptr::null_mut();
    let internet = || is_internet(fd);
    let may_fail = |errno: &c_int| internet() && (*errno == libc::EINTR || !was_accepted(fd));
    if let Some(errno) = draw_fault(FaultPoint::Receive).filter(may_fail) {
        return fail_with(errno) as ssize_t;
    }
    let short = size > 1 && draw_fault(FaultPoint::ShortReceive).is_some() && internet();
    let size = if short { 1 + (random() as usize % size.min(64)) } else { size };
    libc::syscall(libc::SYS_recvfrom, fd, buffer, size, flags, no_address, no_address) as ssize_t
}

/// Sends bytes, all or only some of them, or fails, as drawn for `FaultPoint::ShortSend` and `FaultPoint::Send`.
///
/// # Safety
/// As for `send(2)`.
#[no_mangle]
pub unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, size: size_t, flags: c_int) -> ssize_t {
    let no_address: *const c_void = std::ptr::null();
    if let Some(errno) = draw_fault(FaultPoint::Send).filter(|_| is_internet(fd)) {
        return fail_with(errno) as ssize_t;
    }
    let short = size > 1 && draw_fault(FaultPoint::ShortSend).is_some() && is_internet(fd);
    let size = if short { 1 + random() as usize % (size - 1) } else { size };
    libc::syscall(libc::SYS_sendto, fd, buffer, size, flags, no_address, 0 as c_long) as ssize_t
}

/// Writes buffers, all or only the first one, or fails, as drawn for `FaultPoint::ShortSend`, `FaultPoint::Send` and,
/// on standard error, `FaultPoint::LogWrite`.
///
/// # Safety
/// As for `writev(2)`.
#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    if let Some(errno) = draw_fault(FaultPoint::Send).filter(|_| is_internet(fd)) {
        return fail_with(errno) as ssize_t;
    }
    if fd == libc::STDERR_FILENO {
        if let Some(errno) = draw_fault(FaultPoint::LogWrite) {
            return fail_with(errno) as ssize_t;
        }
    }
    let short = count > 1 && draw_fault(FaultPoint::ShortSend).is_some() && is_internet(fd);
    let count = if short { 1 } else { count };
    libc::syscall(libc::SYS_writev, fd, parts, count) as ssize_t
}

/// Writes bytes, or fails on standard error as drawn for `FaultPoint::LogWrite`.
///
/// # Safety
/// As for `write(2)`.
#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, size: size_t) -> ssize_t {
    if fd == libc::STDERR_FILENO {
        if let Some(errno) = draw_fault(FaultPoint::LogWrite) {
            return fail_with(errno) as ssize_t;
        }
    }
    libc::syscall(libc::SYS_write, fd, buffer, size) as ssize_t
}

/// Waits for events, or fails as drawn for `FaultPoint::EpollWait`.
///
/// # Safety
/// As for `epoll_wait(2)`.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut libc::epoll_event,
    max_events: c_int,
    timeout_ms: c_int,
) -> c_int {
    match draw_fault(FaultPoint::EpollWait) {
        Some(errno) => fail_with(errno),
        None => {
            let no_mask: *const c_void = std::ptr::null();
            libc::syscall(libc::SYS_epoll_pwait, fd, events, max_events, timeout_ms, no_mask, 8 as c_long)
                as c_int
        }
    }
}

/// Reads a clock, and adds the control page's offset to the wall clock.
///
/// # Safety
/// As for `clock_gettime(2)`.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut timespec) -> c_int {
    let result = libc::syscall(libc::SYS_clock_gettime, clock, time) as c_int;
    let offset_us = page().map_or(0, |page| page.wall_clock_offset_us.load(Relaxed));
    if result == 0 && clock == libc::CLOCK_REALTIME && offset_us != 0 {
        let time = &mut *time;
        let nanoseconds = time.tv_sec * NANOSECONDS_PER_SECOND + time.tv_nsec + offset_us * 1000;
        (time.tv_sec, time.tv_nsec) =
            (nanoseconds.div_euclid(NANOSECONDS_PER_SECOND), nanoseconds.rem_euclid(NANOSECONDS_PER_SECOND));
    }
    result
}
