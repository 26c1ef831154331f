//! What the kernel knows of a TCP connection (`TCP_INFO`, `FIONREAD` and `TIOCOUTQ`, Linux).

use std::mem::{offset_of, size_of, MaybeUninit};
use std::os::fd::AsRawFd;
use std::time::Duration;
use tokio::net::TcpStream;

/// Returns the time since the connection last received data, whether or not it has been read; `None` if the kernel
/// does not report it. The value is in whole milliseconds and as exact as the kernel's clock tick.
#[allow(unsafe_code)]
pub fn since_last_data(stream: &TcpStream) -> Option<Duration> {
    let mut info = MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // SAFETY: the descriptor is open while the stream is borrowed, the buffer is `length` bytes long, and all bit
    // patterns are valid for its fields, which are plain integers.
    let info = unsafe {
        let status = libc::getsockopt(
            stream.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &mut length,
        );
        if status != 0 {
            return None;
        }
        info.assume_init()
    };
    let needed = offset_of!(libc::tcp_info, tcpi_last_data_recv) + size_of::<u32>();
    (length as usize >= needed).then(|| Duration::from_millis(u64::from(info.tcpi_last_data_recv)))
}

/// Returns the number of bytes that the connection has received and nobody has read; `None` if the kernel does not
/// report it.
pub fn unread_bytes(stream: &TcpStream) -> Option<usize> {
    queued_bytes(stream, libc::FIONREAD)
}

/// Returns the number of bytes written to the connection that its peer has not acknowledged; `None` if the kernel does
/// not report it.
pub fn unacknowledged_bytes(stream: &TcpStream) -> Option<usize> {
    queued_bytes(stream, libc::TIOCOUTQ)
}

/// Returns the length of one of the connection's queues, which `request` names.
#[allow(unsafe_code)]
fn queued_bytes(stream: &TcpStream, request: libc::Ioctl) -> Option<usize> {
    let mut bytes: libc::c_int = 0;
    // SAFETY: the descriptor is open while the stream is borrowed, and the requests of this module write one integer.
    let status = unsafe { libc::ioctl(stream.as_raw_fd(), request, &mut bytes) };
    usize::try_from(bytes).ok().filter(|_| status == 0)
}
