//! System calls as the process under test sees them: passed on, or made to fail as the control page says.
//!
//! Loaded with `LD_PRELOAD`, its functions stand before those of the C library. Each goes to the kernel by the
//! system call itself, so nothing has to be looked up. Without a control page nothing fails.

mod control;

use control::{ControlPage, FaultPoint, CONTROL_BYTES, CONTROL_VARIABLE};
use libc::{c_int, c_long, c_void, iovec, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::cell::Cell;
use std::ffi::CString;
use std::os::unix::ffi::OsStringExt;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::OnceLock;

const NANOSECONDS: i64 = 1_000_000_000;
/// Descriptors above this are not told apart.
const MAX_TRACKED: usize = 4096;

struct Page(*const ControlPage);

// SAFETY: the page is never unmapped, and all of it is atomic words.
unsafe impl Send for Page {}
// SAFETY: as above.
unsafe impl Sync for Page {}

fn page() -> Option<&'static ControlPage> {
    static PAGE: OnceLock<Option<Page>> = OnceLock::new();
    let page = PAGE.get_or_init(map_page).as_ref()?;
    // SAFETY: the mapping has the size of the page at the least, is aligned to it, and stays.
    Some(unsafe { &*page.0 })
}

fn map_page() -> Option<Page> {
    let path = CString::new(std::env::var_os(CONTROL_VARIABLE)?.into_vec()).ok()?;
    // SAFETY: plain system calls on a path that ends in a zero byte; the results are checked.
    unsafe {
        let file = libc::open(path.as_ptr(), libc::O_RDONLY | libc::O_CLOEXEC);
        if file < 0 {
            return None;
        }
        let at = libc::mmap(std::ptr::null_mut(), CONTROL_BYTES, libc::PROT_READ, libc::MAP_SHARED, file, 0);
        libc::close(file);
        (at != libc::MAP_FAILED).then_some(Page(at.cast()))
    }
}

thread_local! {
    static RANDOM: Cell<u64> = const { Cell::new(0) };
}

/// The next of this thread's random numbers (xorshift64*, Vigna 2016).
fn random() -> u64 {
    RANDOM.with(|state| {
        let mut x = state.get();
        if x == 0 {
            // SAFETY: has no arguments and can't fail.
            x = u64::from(unsafe { libc::getpid() } as u32) | 1 << 40;
        }
        x ^= x >> 12;
        x ^= x << 25;
        x ^= x >> 27;
        state.set(x);
        x.wrapping_mul(0x2545_F491_4F6C_DD1D) >> 32
    })
}

/// The error that this call is to fail with, if it is.
fn drawn(point: FaultPoint) -> Option<c_int> {
    let fault = &page()?.faults[point as usize];
    let per_mille = u64::from(fault.per_mille.load(Relaxed));
    (per_mille > 0 && random() % 1000 < per_mille).then(|| fault.errno.load(Relaxed))
}

fn fail(errno: c_int) -> c_int {
    // SAFETY: the location is this thread's own.
    unsafe { *libc::__errno_location() = errno };
    -1
}

/// Whether this is an Internet socket. The runtime's own pipes are left alone: there Linux documents none of this.
fn is_internet(fd: c_int) -> bool {
    let mut domain: c_int = 0;
    let mut size = std::mem::size_of::<c_int>() as socklen_t;
    let at = std::ptr::from_mut(&mut domain).cast();
    // SAFETY: both pointers lead to live values of the sizes told.
    let done = unsafe { libc::getsockopt(fd, libc::SOL_SOCKET, libc::SO_DOMAIN, at, &mut size) };
    done == 0 && domain == libc::AF_INET
}

/// Descriptors that were accepted, a bit each.
static ACCEPTED: [AtomicU64; MAX_TRACKED / 64] = [const { AtomicU64::new(0) }; MAX_TRACKED / 64];

fn mark_accepted(fd: c_int, accepted: bool) {
    let Some(place) = usize::try_from(fd).ok().filter(|fd| *fd < MAX_TRACKED) else { return };
    let bit = 1 << (place % 64);
    if accepted {
        ACCEPTED[place / 64].fetch_or(bit, Relaxed);
    } else {
        ACCEPTED[place / 64].fetch_and(!bit, Relaxed);
    }
}

/// Whether the peer came to this process. Danger: over a path that broke no answer could reach it, but over the
/// loopback it would see a connection that is closed without one.
fn was_accepted(fd: c_int) -> bool {
    let place = usize::try_from(fd).ok().filter(|fd| *fd < MAX_TRACKED);
    place.is_some_and(|place| ACCEPTED[place / 64].load(Relaxed) & 1 << (place % 64) != 0)
}

/// # Safety
/// As for `accept4(2)`.
#[no_mangle]
pub unsafe extern "C" fn accept4(fd: c_int, to: *mut sockaddr, size: *mut socklen_t, flags: c_int) -> c_int {
    match drawn(FaultPoint::Accept).filter(|_| is_internet(fd)) {
        Some(errno) => fail(errno),
        None => {
            let come = libc::syscall(libc::SYS_accept4, fd, to, size, flags) as c_int;
            mark_accepted(come, true);
            come
        }
    }
}

/// # Safety
/// As for `socket(2)`.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    match drawn(FaultPoint::Socket).filter(|_| domain == libc::AF_INET) {
        Some(errno) => fail(errno),
        None => {
            let made = libc::syscall(libc::SYS_socket, domain, kind, protocol) as c_int;
            mark_accepted(made, false);
            made
        }
    }
}

/// # Safety
/// As for `bind(2)`.
#[no_mangle]
pub unsafe extern "C" fn bind(fd: c_int, to: *const sockaddr, size: socklen_t) -> c_int {
    match drawn(FaultPoint::Bind) {
        Some(errno) => fail(errno),
        None => libc::syscall(libc::SYS_bind, fd, to, size) as c_int,
    }
}

/// # Safety
/// As for `connect(2)`.
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, to: *const sockaddr, size: socklen_t) -> c_int {
    match drawn(FaultPoint::Connect).filter(|_| is_internet(fd)) {
        Some(errno) => fail(errno),
        None => libc::syscall(libc::SYS_connect, fd, to, size) as c_int,
    }
}

/// # Safety
/// As for `recv(2)`.
#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, to: *mut c_void, size: size_t, flags: c_int) -> ssize_t {
    let no_address: *mut c_void = std::ptr::null_mut();
    let internet = || is_internet(fd);
    let fails = |errno: &c_int| internet() && (*errno == libc::EINTR || !was_accepted(fd));
    if let Some(errno) = drawn(FaultPoint::Receive).filter(fails) {
        return fail(errno) as ssize_t;
    }
    let short = size > 1 && drawn(FaultPoint::ShortReceive).is_some() && internet();
    let size = if short { 1 + (random() as usize % size.min(64)) } else { size };
    libc::syscall(libc::SYS_recvfrom, fd, to, size, flags, no_address, no_address) as ssize_t
}

/// # Safety
/// As for `send(2)`.
#[no_mangle]
pub unsafe extern "C" fn send(fd: c_int, from: *const c_void, size: size_t, flags: c_int) -> ssize_t {
    let no_address: *const c_void = std::ptr::null();
    if let Some(errno) = drawn(FaultPoint::Send).filter(|_| is_internet(fd)) {
        return fail(errno) as ssize_t;
    }
    let short = size > 1 && drawn(FaultPoint::ShortSend).is_some() && is_internet(fd);
    let size = if short { 1 + random() as usize % (size - 1) } else { size };
    libc::syscall(libc::SYS_sendto, fd, from, size, flags, no_address, 0 as c_long) as ssize_t
}

/// # Safety
/// As for `writev(2)`.
#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    if let Some(errno) = drawn(FaultPoint::Send).filter(|_| is_internet(fd)) {
        return fail(errno) as ssize_t;
    }
    if fd == libc::STDERR_FILENO {
        if let Some(errno) = drawn(FaultPoint::LogWrite) {
            return fail(errno) as ssize_t;
        }
    }
    let short = count > 1 && drawn(FaultPoint::ShortSend).is_some() && is_internet(fd);
    let count = if short { 1 } else { count };
    libc::syscall(libc::SYS_writev, fd, parts, count) as ssize_t
}

/// # Safety
/// As for `write(2)`.
#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, from: *const c_void, size: size_t) -> ssize_t {
    if fd == libc::STDERR_FILENO {
        if let Some(errno) = drawn(FaultPoint::LogWrite) {
            return fail(errno) as ssize_t;
        }
    }
    libc::syscall(libc::SYS_write, fd, from, size) as ssize_t
}

/// # Safety
/// As for `epoll_wait(2)`.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(fd: c_int, to: *mut libc::epoll_event, most: c_int, ms: c_int) -> c_int {
    match drawn(FaultPoint::EpollWait) {
        Some(errno) => fail(errno),
        None => {
            let no_mask: *const c_void = std::ptr::null();
            libc::syscall(libc::SYS_epoll_pwait, fd, to, most, ms, no_mask, 8 as c_long) as c_int
        }
    }
}

/// # Safety
/// As for `clock_gettime(2)`.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, to: *mut timespec) -> c_int {
    let done = libc::syscall(libc::SYS_clock_gettime, clock, to) as c_int;
    let offset = page().map_or(0, |page| page.wall_clock_offset_us.load(Relaxed));
    if done == 0 && clock == libc::CLOCK_REALTIME && offset != 0 {
        let time = &mut *to;
        let all = time.tv_sec * NANOSECONDS + time.tv_nsec + offset * 1000;
        (time.tv_sec, time.tv_nsec) = (all.div_euclid(NANOSECONDS), all.rem_euclid(NANOSECONDS));
    }
    done
}
