//! Sockets that count the bytes read and written, detect that the peer has closed, and read ahead of their user.

pub mod request_tracker;

use crate::body::scanner::{BodyFraming, BodyScanner};
use crate::memory::budget::{Budget, Part, Reservation};
use crate::tcp_info::{since_last_data, unacknowledged_bytes, unread_bytes};
use bytes::{Buf, BufMut, BytesMut};
use nix::errno::Errno;
use nix::sys::socket::{recv, MsgFlags};
use request_tracker::RequestTracker;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::{self, IoSlice};
use std::net::Shutdown;
use std::os::fd::AsRawFd;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The largest head of an HTTP message that is accepted, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// How many bytes that follow a request are read ahead while the request is processed, so that the client's closing
/// of the connection behind them is detected. This is enough for a thousand pipelined requests. Bytes beyond it are
/// discarded, and the connection is closed after the response.
const MAX_READ_AHEAD_BYTES: usize = 256 * 1024;
/// The most bytes that the socket's user gets at once. hyper enlarges a connection's buffers, of which several may wait for
/// a slow receiver, when a read fills its first one of 8 KiB.
const MAX_READ_BYTES: usize = 8 * 1024 - 1;
/// The unit in which memory for reading ahead is reserved, in bytes.
const READ_AHEAD_STEP_BYTES: usize = 16 * 1024;
/// The part of the memory for bodies that reading ahead and looking ahead may take: bodies themselves go first.
const SPARE_PART: Part = Part { pieces: 1, whole: 2 };
/// The number of discarded bytes, several times what the socket buffers hold, after which the client is taken to send
/// without end and the connection is closed at once.
const MAX_DISCARDED_BYTES: usize = 16 << 20;

/// Bytes read from the socket before its user asked for them.
#[derive(Default)]
struct ReadAhead {
    bytes: BytesMut,
    /// One reservation in the body budget for each `READ_AHEAD_STEP_BYTES`.
    reserved: Vec<Reservation>,
    /// The number of bytes discarded after those.
    discarded: usize,
}

impl ReadAhead {
    /// Reserves space to read more and returns its size in bytes: 0 at the bound, `None` if the budget does not allow
    /// it.
    fn reserve_space(&mut self, budget: &Budget) -> Option<usize> {
        if self.bytes.len() == self.reserved.len() * READ_AHEAD_STEP_BYTES {
            if self.bytes.len() >= MAX_READ_AHEAD_BYTES {
                return Some(0);
            }
            self.reserved.push(budget.reserve_within(SPARE_PART, READ_AHEAD_STEP_BYTES)?);
        }
        let space = self.reserved.len() * READ_AHEAD_STEP_BYTES - self.bytes.len();
        self.bytes.reserve(space);
        Some(space)
    }

    /// Moves as many bytes as fit into `buf`, and releases the memory when all have been moved.
    fn move_into(&mut self, buf: &mut ReadBuf<'_>) {
        let n = self.bytes.len().min(buf.remaining());
        buf.put_slice(&self.bytes[..n]);
        self.bytes.advance(n);
        if self.bytes.is_empty() {
            (self.bytes, self.reserved) = Default::default();
        }
    }
}

/// The state of a socket that its user and observers share.
pub struct Meter {
    /// `None` once the socket has been closed locally.
    stream: RefCell<Option<Rc<TcpStream>>>,
    ahead: RefCell<ReadAhead>,
    read: Cell<u64>,
    /// When the socket's user last read bytes.
    last_read: Cell<Instant>,
    written: Cell<u64>,
    /// Whether the last write would have blocked, so that the user has bytes left to write.
    write_blocked: Cell<bool>,
    /// The requests in the bytes read; `None` unless the peer is a client.
    requests: RefCell<Option<RequestTracker>>,
    /// The count of written bytes at which the current request is complete, and the counter to increment then.
    write_target: RefCell<Option<(u64, Rc<Cell<u64>>)>>,
}

impl Meter {
    /// Creates a meter that owns `stream`.
    pub fn new(stream: TcpStream) -> Rc<Self> {
        let (ahead, requests, write_target) = (RefCell::default(), RefCell::default(), RefCell::default());
        let stream = RefCell::new(Some(Rc::new(stream)));
        Rc::new(Meter {
            stream,
            ahead,
            read: Cell::new(0),
            last_read: Cell::new(Instant::now()),
            written: Cell::new(0),
            write_blocked: Cell::new(false),
            requests,
            write_target,
        })
    }

    /// Returns the socket, or a `NotConnected` error if it has been closed locally.
    fn stream(&self) -> io::Result<Rc<TcpStream>> {
        self.stream.borrow().clone().ok_or_else(|| io::ErrorKind::NotConnected.into())
    }

    /// Closes the socket, even if others still hold this meter.
    pub fn close(&self) {
        drop(self.stream.take());
    }

    /// Returns the number of bytes read so far by the socket's user.
    pub fn read(&self) -> u64 {
        self.read.get()
    }

    /// Returns the time since the socket's user last read bytes.
    pub fn since_last_read(&self) -> Duration {
        self.last_read.get().elapsed()
    }

    /// Returns the number of bytes written to the socket so far.
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// Returns the number of bytes written that the peer's machine has acknowledged; all of them if this is not known.
    pub fn acknowledged(&self) -> u64 {
        let unacknowledged = self.stream().ok().and_then(|stream| unacknowledged_bytes(&stream));
        self.written.get().saturating_sub(unacknowledged.unwrap_or_default() as u64)
    }

    /// Returns whether the socket's user is waiting to write.
    pub fn write_blocked(&self) -> bool {
        self.write_blocked.get()
    }

    /// Increments `counter` once the number of bytes written so far reaches `total_bytes`.
    pub fn count_when_written(&self, total_bytes: u64, counter: Rc<Cell<u64>>) {
        if self.written.get() >= total_bytes {
            counter.set(counter.get() + 1);
        } else {
            *self.write_target.borrow_mut() = Some((total_bytes, counter));
        }
    }

    /// Follows the requests in the bytes read from now on, which begin with a request's head.
    pub fn track_requests(&self) {
        *self.requests.borrow_mut() = Some(RequestTracker::default());
    }

    /// Returns whether the head of the request that has been read last has a `content-length` field; `None` if that is
    /// not known. This finds one next to `transfer-encoding: chunked`, which hyper does not report although a backend
    /// might go by it. To be called before [`Meter::begin_body`].
    pub fn head_has_length(&self) -> Option<bool> {
        self.requests.borrow().as_ref()?.head_has_length()
    }

    /// Returns whether bytes of a further request have been read.
    pub fn next_head_begun(&self) -> bool {
        self.requests.borrow().as_ref().is_some_and(RequestTracker::next_head_begun)
    }

    /// Records how the body of the request whose head has been read last ends.
    pub fn begin_body(&self, framing: BodyFraming) {
        if let Some(requests) = self.requests.borrow_mut().as_mut() {
            requests.begin_body(framing);
        }
    }

    /// Returns whether the current request's body has arrived whole at this machine, read or unread. False if this is
    /// not known, as `budget` has no memory to spare to look for the end of a chunked body in the socket.
    pub fn body_arrived(&self, budget: &Budget) -> bool {
        let Some(mut body) = self.requests.borrow().as_ref().and_then(RequestTracker::body) else {
            return false;
        };
        body.scan(&self.ahead.borrow().bytes);
        if body.is_complete() {
            return true;
        }
        // Behind discarded bytes the position in the body is not known.
        let unread = if self.has_discarded() { 0 } else { self.unread_in_socket() };
        match body {
            BodyScanner::Length(left) => left <= unread as u64,
            BodyScanner::Chunked(_) if unread == 0 => false,
            BodyScanner::Chunked(_) => {
                let Some(_reservation) = budget.reserve_within(SPARE_PART, unread) else { return false };
                let mut bytes = vec![0; unread];
                let peeked = self.peek(&mut bytes).unwrap_or_default();
                body.scan(&bytes[..peeked]);
                body.is_complete()
            }
        }
    }

    /// Returns how many bytes of the current request's body have not arrived at this machine; `None` if its length is not
    /// declared or not known.
    pub fn body_bytes_to_come(&self) -> Option<u64> {
        match self.requests.borrow().as_ref().and_then(RequestTracker::body)? {
            BodyScanner::Length(left) => {
                let unread = self.ahead.borrow().bytes.len() + self.unread_in_socket();
                Some(left.saturating_sub(unread as u64))
            }
            BodyScanner::Chunked(_) => None,
        }
    }

    /// Returns the number of bytes that have arrived at this machine, read or unread.
    pub fn received(&self) -> u64 {
        self.read.get() + (self.ahead.borrow().bytes.len() + self.unread_in_socket()) as u64
    }

    /// Returns the number of bytes received that have not been read from the socket.
    fn unread_in_socket(&self) -> usize {
        self.stream().ok().and_then(|stream| unread_bytes(&stream)).unwrap_or_default()
    }

    /// Returns whether the socket is open and nothing is unread, asking the kernel rather than the runtime.
    pub fn is_open_and_empty(&self) -> bool {
        self.ahead.borrow().bytes.is_empty()
            && self.peek_one().is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Returns the time since the last bytes arrived, whether or not they have been read; zero if it is not known.
    pub fn since_last_data(&self) -> Duration {
        self.stream().ok().and_then(|stream| since_last_data(&stream)).unwrap_or_default()
    }

    /// Peeks at one byte in the socket; 0 means that the peer has ended its sending.
    fn peek_one(&self) -> io::Result<usize> {
        self.peek(&mut [0])
    }

    /// Copies bytes from the socket without taking them out, and returns their number.
    fn peek(&self, buffer: &mut [u8]) -> io::Result<usize> {
        let stream = self.stream()?;
        loop {
            match recv(stream.as_raw_fd(), buffer, MsgFlags::MSG_PEEK) {
                Err(Errno::EINTR) => {}
                result => return Ok(result?),
            }
        }
    }
}

impl Meter {
    /// Returns whether the peer has closed the connection or its sending side. While unread bytes precede the end,
    /// neither a read nor a peek reaches it, but the runtime is notified of it independently.
    pub fn peer_closed(&self) -> bool {
        let Ok(stream) = self.stream() else { return true };
        // On Linux, `Interest::PRIORITY` also reports the end of the read side.
        let readiness = pin!(stream.ready(Interest::PRIORITY)).poll(&mut Context::from_waker(Waker::noop()));
        match readiness {
            Poll::Ready(Ok(ready)) if ready.is_read_closed() => true,
            // Without a notification, the end is still found if no unread bytes precede it.
            _ => match self.peek_one() {
                Ok(n) => n == 0,
                Err(e) => e.kind() != io::ErrorKind::WouldBlock,
            },
        }
    }

    /// Waits until the runtime is notified that the peer has closed its sending side, whether or not bytes are
    /// unread.
    pub async fn wait_peer_closed(&self) {
        let Ok(stream) = self.stream() else { return };
        let readiness = stream.ready(Interest::PRIORITY).await;
        if readiness.is_ok_and(|ready| !ready.is_read_closed()) {
            std::future::pending().await
        }
    }

    /// Reads ahead while the socket's user does not read. Ready once the peer has closed, the connection has failed,
    /// or `MAX_DISCARDED_BYTES` have been discarded. With `discard_excess`, bytes beyond the read-ahead bound are
    /// discarded, and the user reads nothing after the bytes read ahead: if the peer sends more than the socket
    /// buffers hold, its closing reaches this machine only after those bytes are read.
    pub fn poll_read_ahead(&self, cx: &mut Context<'_>, budget: &Budget, discard_excess: bool) -> Poll<()> {
        let Ok(stream) = self.stream() else { return Poll::Ready(()) };
        let mut ahead = self.ahead.borrow_mut();
        loop {
            if ready!(stream.poll_read_ready(cx)).is_err() {
                return Poll::Ready(());
            }
            // If the budget has no memory to spare, nothing more is read, and memory is not waited for: the runtime may
            // be notified without a read that the peer has closed.
            let space = if ahead.discarded > 0 { Some(0) } else { ahead.reserve_space(budget) };
            let Some(space) = space else { return Poll::Pending };
            let result = if space > 0 {
                try_read(&stream, (&mut ahead.bytes).limit(space))
            } else if !discard_excess {
                return Poll::Pending;
            } else if ahead.discarded < MAX_DISCARDED_BYTES {
                try_read(&stream, &mut [0; READ_AHEAD_STEP_BYTES][..]).inspect(|n| ahead.discarded += n)
            } else {
                return Poll::Ready(());
            };
            match result {
                Ok(0) => return Poll::Ready(()),
                Ok(_) => {}
                Err(e) if should_retry(&e) => {}
                Err(_) => return Poll::Ready(()),
            }
        }
    }

    /// Returns whether bytes have been discarded, so that no further request can be read.
    pub fn has_discarded(&self) -> bool {
        self.ahead.borrow().discarded > 0
    }
}

/// Reads once into `buf` without waiting. Unlike `AsyncRead`, this does not take a short read as a sign that the
/// socket is empty; only a read that would block clears its readiness.
fn try_read(stream: &TcpStream, mut buf: impl BufMut) -> io::Result<usize> {
    stream.try_read_buf(&mut buf)
}

/// Returns whether a call is to be repeated: it was interrupted or would have blocked.
fn should_retry(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// Calls `io` when the socket is ready, and repeats it while it is interrupted or would block.
fn poll_io<T>(
    mut poll_ready: impl FnMut() -> Poll<io::Result<()>>,
    mut io: impl FnMut() -> io::Result<T>,
) -> Poll<io::Result<T>> {
    loop {
        ready!(poll_ready())?;
        match io() {
            Err(e) if should_retry(&e) => {}
            result => return Poll::Ready(result),
        }
    }
}

/// The stream of a metered socket, for its user; counts the bytes that pass through.
pub struct MeteredStream(pub Rc<Meter>);

impl MeteredStream {
    /// Records the result of a write in the meter and passes it on.
    fn record_write(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.0.write_blocked.set(result.is_pending());
        if let Poll::Ready(Ok(n)) = result {
            self.0.written.set(self.0.written.get() + n as u64);
            let mut target = self.0.write_target.borrow_mut();
            if let Some((_, counter)) = target.take_if(|entry| self.0.written.get() >= entry.0) {
                counter.set(counter.get() + 1);
            }
        }
        result
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let (meter, filled_before) = (&self.0, buf.filled().len());
        if meter.ahead.borrow().bytes.is_empty() {
            if meter.has_discarded() {
                return Poll::Pending;
            }
            let stream = meter.stream()?;
            ready!(poll_io(
                || stream.poll_read_ready(cx),
                || try_read(&stream, (&mut *buf).limit(MAX_READ_BYTES))
            ))?;
        } else {
            meter.ahead.borrow_mut().move_into(buf);
        }
        meter.read.set(meter.read.get() + (buf.filled().len() - filled_before) as u64);
        meter.last_read.set(Instant::now());
        if let Some(requests) = meter.requests.borrow_mut().as_mut() {
            requests.feed(&buf.filled()[filled_before..]);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let stream = self.0.stream()?;
        self.record_write(poll_io(|| stream.poll_write_ready(cx), || stream.try_write(buf)))
    }
    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let stream = self.0.stream()?;
        self.record_write(poll_io(|| stream.poll_write_ready(cx), || stream.try_write_vectored(bufs)))
    }
    fn is_write_vectored(&self) -> bool {
        true
    }
    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0.stream()?).shutdown(Shutdown::Write))
    }
}
