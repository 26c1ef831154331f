//! Client connections over sockets that count: one request at a time.

use crate::body::upload::RequestBody;
use crate::meter::{Meter, MeteredStream, MAX_HEAD_BYTES};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// A link is not used again sooner after its last answer. Danger: an answer names no request, and a second one to the
/// last request, which was seen to come up to 4 ms after it, would be taken for the next one's.
pub const REUSE_DELAY: Duration = Duration::from_millis(10);

/// A request that got no answer.
pub struct SendError {
    /// Whether its last byte had been written: only then may it have run.
    pub fully_written: bool,
}

/// A connection that carries one request at a time; dropping it closes the socket.
pub struct Link {
    sender: http1::SendRequest<RequestBody>,
    meter: Rc<Meter>,
    task: AbortHandle,
}

/// Danger: an aborted task holds what it has until the runtime comes to it, and whoever counts connections counts
/// this one no more: its descriptor is given back at once.
impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
        self.meter.close();
    }
}

impl Link {
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let meter = Meter::new(stream);
        let mut http = http1::Builder::new();
        http.max_buf_size(MAX_HEAD_BYTES);
        let (sender, conn) =
            http.handshake(TokioIo::new(MeteredStream(meter.clone()))).await.map_err(io::Error::other)?;
        let task = tokio::task::spawn_local(async move { drop(conn.await) }).abort_handle();
        Ok(Link { sender, meter, task })
    }

    /// Whether the other side still holds it open and has sent nothing that was not asked for. Danger: what
    /// stands behind an answer would be taken for the next one's; the library ends the connection over what
    /// it has read of that, and the rest waits in the socket.
    pub fn usable(&self) -> bool {
        !self.sender.is_closed() && self.meter.is_open_and_empty()
    }

    /// Bytes written to the socket so far.
    pub fn written(&self) -> u64 {
        self.meter.written()
    }

    /// The socket, for who counts what is written to it.
    pub fn meter(&self) -> Rc<Meter> {
        self.meter.clone()
    }

    /// Waits until a request can be sent; an error where the connection has ended.
    pub async fn ready(&mut self) -> Result<(), SendError> {
        self.sender.ready().await.map_err(|_| SendError { fully_written: false })
    }

    /// Sends a request and waits for the head of its answer. `length` is what it takes on the wire, `None` as
    /// long as that is not known.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
        length: impl Fn() -> Option<u64>,
    ) -> Result<Response<Incoming>, SendError> {
        self.ready().await?;
        let before = self.meter.written();
        self.sender.try_send_request(request).await.map_err(|e| {
            // A message that comes back was never begun.
            let written =
                e.message().is_none() && length().is_some_and(|n| self.meter.written() - before >= n);
            SendError { fully_written: written }
        })
    }
}

/// The bytes that a request's head takes on the wire. It must state its length itself wherever one is due.
pub fn head_length<B>(request: &Request<B>) -> u64 {
    let target = request.uri().path_and_query().map_or(1, |p| p.as_str().len());
    let line = request.method().as_str().len() + 1 + target + " HTTP/1.1\r\n".len();
    let fields = request.headers().iter().map(|(k, v)| k.as_str().len() + 2 + v.len() + 2).sum::<usize>();
    (line + fields + 2) as u64
}
