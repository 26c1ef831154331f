//! Sockets that know what has gone through them.

use crate::body::budget::{Budget, Reservation};
use crate::tcp_info::since_last_data;
use bytes::{Buf, BufMut, BytesMut};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// A head longer than this is no head.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Heads are seldom longer.
const SHORT_HEAD: usize = 1024;
/// What has come behind a request in work is read ahead up to this, in steps, so that the client's end behind it
/// is seen: a thousand pipelined requests. Beyond it, bytes are thrown away, and the connection ends with the
/// answer; at a bound that is several times what sockets hold, it ends at once: a client that sends on and on.
const READ_AHEAD: usize = 256 * 1024;
const STEP: usize = 16 * 1024;
const MOST_SKIPPED: usize = 16 << 20;

/// What has been read before anybody asked for it.
#[derive(Default)]
struct ReadAhead {
    bytes: BytesMut,
    /// A part of what bodies may hold for each `STEP`.
    reserved: Vec<Reservation>,
    /// Bytes thrown away behind those.
    skipped: usize,
}

impl ReadAhead {
    /// Room for more; 0 where the bound is reached, `None` where bodies need the memory.
    fn room(&mut self, budget: &Budget) -> Option<usize> {
        if self.bytes.len() == self.reserved.len() * STEP {
            if self.bytes.len() >= READ_AHEAD {
                return Some(0);
            }
            self.reserved.push(budget.reserve_spare(STEP)?);
        }
        let room = self.reserved.len() * STEP - self.bytes.len();
        self.bytes.reserve(room);
        Some(room)
    }

    fn give(&mut self, buf: &mut ReadBuf<'_>) {
        let n = self.bytes.len().min(buf.remaining());
        buf.put_slice(&self.bytes[..n]);
        self.bytes.advance(n);
        if self.bytes.is_empty() {
            (self.bytes, self.reserved) = Default::default();
        }
    }
}

/// A socket as others than its one user see it.
pub struct Meter {
    /// `None` once it is closed from this side.
    stream: RefCell<Option<Rc<TcpStream>>>,
    ahead: RefCell<ReadAhead>,
    read: Cell<u64>,
    written: Cell<u64>,
    /// The socket took no more at the last write: its user holds bytes that are still to be written.
    write_blocked: Cell<bool>,
    /// What has been read since `record_next_head`, up to the end of a head; for those who want it.
    head: RefCell<Option<Vec<u8>>>,
    /// Told once this much has been written: the request that goes out is whole then.
    goal: RefCell<Option<(u64, Rc<Cell<u64>>)>>,
}

impl Meter {
    pub fn new(stream: TcpStream) -> Rc<Self> {
        let (ahead, head, goal) = (RefCell::default(), RefCell::default(), RefCell::default());
        let stream = RefCell::new(Some(Rc::new(stream)));
        Rc::new(Meter {
            stream,
            ahead,
            read: Cell::new(0),
            written: Cell::new(0),
            write_blocked: Cell::new(false),
            head,
            goal,
        })
    }

    /// The socket, as long as it is open on this side.
    fn stream(&self) -> io::Result<Rc<TcpStream>> {
        self.stream.borrow().clone().ok_or_else(|| io::ErrorKind::NotConnected.into())
    }

    /// Gives the descriptor back, whoever else knows of the socket.
    pub fn close(&self) {
        drop(self.stream.take());
    }

    /// Bytes taken so far by the socket's user.
    pub fn read(&self) -> u64 {
        self.read.get()
    }

    /// Bytes given to the socket so far.
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// Whether the socket's user waits to write.
    pub fn write_blocked(&self) -> bool {
        self.write_blocked.get()
    }

    /// Counts what is written once there is so much of it.
    pub fn aim(&self, at: u64, tries: Rc<Cell<u64>>) {
        if self.written.get() >= at {
            tries.set(tries.get() + 1);
        } else {
            *self.goal.borrow_mut() = Some((at, tries));
        }
    }

    /// From now on keeps the next head as it comes.
    pub fn record_next_head(&self) {
        let mut head = self.head.borrow_mut();
        let mut kept = head.take().unwrap_or_default();
        kept.clear();
        *head = Some(kept);
    }

    /// Whether the head that was kept is whole and names this field. Danger: of a length that stands beside
    /// chunks the library tells nothing, and a backend may go by it.
    pub fn recorded_head_has_field(&self, field: &str) -> Option<bool> {
        let head = self.head.borrow();
        let mut lines = head.as_deref()?.split(|b| *b == b'\n').map(|l| l.trim_ascii_end());
        let mut named = false;
        lines.find(|line| {
            let name = line.split(|b| *b == b':').next().unwrap_or_default().trim_ascii();
            named |= name.eq_ignore_ascii_case(field.as_bytes());
            line.is_empty()
        })?;
        Some(named)
    }

    fn keep(&self, bytes: &[u8]) {
        if let Some(head) = self.head.borrow_mut().as_mut() {
            let room = MAX_HEAD_BYTES.saturating_sub(head.len());
            // What comes behind a head is not looked at: a large body is not kept.
            if head.len() < SHORT_HEAD || !head.windows(4).any(|w| w == b"\r\n\r\n") {
                head.extend_from_slice(&bytes[..bytes.len().min(room)]);
            }
        }
    }

    /// Whether the socket is open and holds nothing unread, as the kernel has it at this moment.
    pub fn is_open_and_empty(&self) -> bool {
        self.ahead.borrow().bytes.is_empty()
            && self.peek().is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// How long ago the last bytes came, whether they have been read or not.
    pub fn since_last_data(&self) -> Duration {
        self.stream().ok().and_then(|stream| since_last_data(&stream)).unwrap_or_default()
    }

    fn peek(&self) -> io::Result<usize> {
        let stream = self.stream()?;
        loop {
            match SockRef::from(&*stream).peek(&mut [MaybeUninit::uninit()]) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                done => return done,
            }
        }
    }
}

impl Meter {
    /// Whether the other side has ended the connection or its sending. Danger: with bytes in between that
    /// nobody reads, neither a read nor a peek comes to that end; the runtime is told of it beside them.
    pub fn peer_closed(&self) -> bool {
        let Ok(stream) = self.stream() else { return true };
        // On Linux, this waits for the read side's end as well.
        let told = pin!(stream.ready(Interest::PRIORITY)).poll(&mut Context::from_waker(Waker::noop()));
        match told {
            Poll::Ready(Ok(ready)) if ready.is_read_closed() => true,
            // Where it is not told, the end still shows once there is nothing before it.
            _ => match self.peek() {
                Ok(n) => n == 0,
                Err(e) => e.kind() != io::ErrorKind::WouldBlock,
            },
        }
    }

    /// Waits until the runtime is told that the other side has ended its sending, whatever stands unread.
    pub async fn wait_peer_closed(&self) {
        let Ok(stream) = self.stream() else { return };
        let told = stream.ready(Interest::PRIORITY).await;
        if told.is_ok_and(|ready| !ready.is_read_closed()) {
            std::future::pending().await
        }
    }

    /// Reads on while the socket's user does not, up to the bounds; ready where the other side has ended, or
    /// sends without end. With `skips`, what goes beyond is thrown away, and the user gets nothing more. Danger: an end
    /// behind more than the sockets hold reaches this machine only as that is read.
    pub fn poll_read_ahead(&self, cx: &mut Context<'_>, budget: &Budget, skips: bool) -> Poll<()> {
        let Ok(stream) = self.stream() else { return Poll::Ready(()) };
        let mut ahead = self.ahead.borrow_mut();
        loop {
            if ready!(stream.poll_read_ready(cx)).is_err() {
                return Poll::Ready(());
            }
            // Memory that bodies need is not waited for: the end may be told without a read.
            let room = if ahead.skipped > 0 { Some(0) } else { ahead.room(budget) };
            let Some(room) = room else { return Poll::Pending };
            let done = if room > 0 {
                try_read(&stream, (&mut ahead.bytes).limit(room))
            } else if !skips {
                return Poll::Pending;
            } else if ahead.skipped < MOST_SKIPPED {
                try_read(&stream, &mut [0; STEP][..]).inspect(|n| ahead.skipped += n)
            } else {
                return Poll::Ready(());
            };
            match done {
                Ok(0) => return Poll::Ready(()),
                Ok(_) => {}
                Err(e) if is_repeated(&e) => {}
                Err(_) => return Poll::Ready(()),
            }
        }
    }

    /// Whether bytes were thrown away: no request can follow.
    pub fn has_discarded(&self) -> bool {
        self.ahead.borrow().skipped > 0
    }
}

/// A read. Danger: one that comes short tells nothing of what is left in the socket; only one that would block does.
fn try_read(stream: &TcpStream, mut buf: impl BufMut) -> io::Result<usize> {
    stream.try_read_buf(&mut buf)
}

/// Whether a call is to be made again: it was interrupted, or is not possible yet.
fn is_repeated(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// Repeats what was interrupted, or may not be possible yet.
fn poll_io<T>(
    mut poll_ready: impl FnMut() -> Poll<io::Result<()>>,
    mut io: impl FnMut() -> io::Result<T>,
) -> Poll<io::Result<T>> {
    loop {
        ready!(poll_ready())?;
        match io() {
            Err(e) if is_repeated(&e) => {}
            done => return Poll::Ready(done),
        }
    }
}

/// Counts the bytes that go through the socket.
pub struct MeteredStream(pub Rc<Meter>);

impl MeteredStream {
    fn note(&self, done: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.0.write_blocked.set(done.is_pending());
        if let Poll::Ready(Ok(n)) = done {
            self.0.written.set(self.0.written.get() + n as u64);
            let mut goal = self.0.goal.borrow_mut();
            if let Some((_, tries)) = goal.take_if(|g| self.0.written.get() >= g.0) {
                tries.set(tries.get() + 1);
            }
        }
        done
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let (meter, before) = (&self.0, buf.filled().len());
        if meter.ahead.borrow().bytes.is_empty() {
            if meter.has_discarded() {
                return Poll::Pending;
            }
            let stream = meter.stream()?;
            ready!(poll_io(|| stream.poll_read_ready(cx), || try_read(&stream, &mut *buf)))?;
        } else {
            meter.ahead.borrow_mut().give(buf);
        }
        meter.read.set(meter.read.get() + (buf.filled().len() - before) as u64);
        meter.keep(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let stream = self.0.stream()?;
        self.note(poll_io(|| stream.poll_write_ready(cx), || stream.try_write(buf)))
    }
    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let stream = self.0.stream()?;
        self.note(poll_io(|| stream.poll_write_ready(cx), || stream.try_write_vectored(bufs)))
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
