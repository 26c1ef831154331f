//! HTTP/1.1 client connections over metered sockets, each carrying one request at a time.

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

/// How long a connection stays unused after its last response. Responses do not identify their request, so a second
/// response to the last request would be taken for the response to the next one; some have arrived up to 4 ms late.
pub const REUSE_DELAY: Duration = Duration::from_millis(10);

/// The error of a request that got no response.
pub struct SendError {
    /// Whether its last byte had been written. Only then may the peer have processed the request.
    pub fully_written: bool,
}

/// An HTTP/1.1 client connection that carries one request at a time. Dropping it closes the socket.
pub struct Link {
    sender: http1::SendRequest<RequestBody>,
    meter: Rc<Meter>,
    connection_task: AbortHandle,
}

/// Closes the socket at once. An aborted task keeps its resources until the runtime gets to it, but the callers'
/// bounds on connections stop counting this one on drop, so its descriptor must be free by then.
impl Drop for Link {
    fn drop(&mut self) {
        self.connection_task.abort();
        self.meter.close();
    }
}

impl Link {
    /// Opens a connection to `address`.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket call that failed.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let meter = Meter::new(stream);
        let mut http = http1::Builder::new();
        http.max_buf_size(MAX_HEAD_BYTES);
        let (sender, connection) =
            http.handshake(TokioIo::new(MeteredStream(meter.clone()))).await.map_err(io::Error::other)?;
        let connection_task = tokio::task::spawn_local(async move { drop(connection.await) }).abort_handle();
        Ok(Link { sender, meter, connection_task })
    }

    /// Returns whether the peer has not closed the connection and has sent nothing unexpected. Bytes after the end of
    /// a response would be taken for the next response: hyper closes the connection if it has read such bytes, and
    /// the check of the socket finds those not read yet.
    pub fn usable(&self) -> bool {
        !self.sender.is_closed() && self.meter.is_open_and_empty()
    }

    /// Returns the number of bytes written to the socket so far.
    pub fn written(&self) -> u64 {
        self.meter.written()
    }

    /// Returns the meter of the connection's socket.
    pub fn meter(&self) -> Rc<Meter> {
        self.meter.clone()
    }

    /// Waits until a request can be sent.
    ///
    /// # Errors
    ///
    /// Returns an error, with `fully_written` false, if the connection has ended.
    pub async fn ready(&mut self) -> Result<(), SendError> {
        self.sender.ready().await.map_err(|_| SendError { fully_written: false })
    }

    /// Sends a request and waits for the head of its response. `length` returns the number of bytes that the request
    /// takes on the wire, `None` while that is not known.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails before the head of the response has been received.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
        length: impl Fn() -> Option<u64>,
    ) -> Result<Response<Incoming>, SendError> {
        self.ready().await?;
        let written_before = self.meter.written();
        self.sender.try_send_request(request).await.map_err(|e| {
            // hyper returns the message if it has not started to write it.
            let fully_written =
                e.message().is_none() && length().is_some_and(|n| self.meter.written() - written_before >= n);
            SendError { fully_written }
        })
    }
}

/// Returns the number of bytes that a request's head takes on the wire. The request must already contain the
/// `content-length` or `transfer-encoding` field if it needs one, since hyper would otherwise add it.
pub fn head_length<B>(request: &Request<B>) -> u64 {
    let target = request.uri().path_and_query().map_or(1, |p| p.as_str().len());
    let line = request.method().as_str().len() + 1 + target + " HTTP/1.1\r\n".len();
    let fields = request.headers().iter().map(|(k, v)| k.as_str().len() + 2 + v.len() + 2).sum::<usize>();
    (line + fields + 2) as u64
}
