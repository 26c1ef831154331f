//! A connection to discovery, and the calls over it.

use super::patience::FailureKind;
use crate::endpoints::EndpointList;
use crate::meter::{Meter, MeteredStream};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::StatusCode;
use hyper_util::rt::TokioIo;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// The maximum size of a list's body.
const MAX_LIST_BYTES: usize = 4 << 20;

/// An HTTP/1 connection to discovery or to its local agent, with at most one call in flight.
pub(super) struct Connection {
    address: SocketAddr,
    sender: http1::SendRequest<Empty<Bytes>>,
    connection_task: AbortHandle,
}

/// Closes the connection, even while a call on it is waiting for its response.
impl Drop for Connection {
    fn drop(&mut self) {
        self.connection_task.abort();
    }
}

impl Connection {
    /// Connects to `address`; fails after `limit`.
    pub(super) async fn connect(address: SocketAddr, limit: Duration) -> Result<Self, Failure> {
        let stream = timeout(limit, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| Failure::TimedOut("connect: no answer"))?;
        let stream = stream.map_err(|e| format!("connect: {e}"))?;
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        let (sender, connection) = http1::handshake(TokioIo::new(MeteredStream(Meter::new(stream))))
            .await
            .map_err(|e| e.to_string())?;
        let connection_task = tokio::task::spawn_local(connection).abort_handle();
        Ok(Connection { address, sender, connection_task })
    }

    /// Makes one GET call and parses the list in the response; fails if the response is not complete after
    /// `limit`.
    pub(super) async fn fetch_list(&mut self, path: &str, limit: Duration) -> Result<EndpointList, Failure> {
        let request = hyper::Request::get(path).header("host", self.address.to_string());
        let request = request.body(Empty::new()).map_err(|e| e.to_string())?;
        let call = async {
            self.sender.ready().await.map_err(|e| e.to_string())?;
            let answer = self.sender.send_request(request).await.map_err(|e| e.to_string())?;
            match answer.status() {
                StatusCode::OK => {}
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                    return Err(Failure::Overloaded(answer.status()))
                }
                other => return Err(Failure::Other(format!("status {other}"))),
            }
            let body = Limited::new(answer.into_body(), MAX_LIST_BYTES).collect().await;
            Ok(body.map_err(|e| e.to_string())?.to_bytes())
        };
        let body = timeout(limit, call).await.map_err(|_| Failure::TimedOut("no answer in time"))??;
        serde_json::from_slice(&body).map_err(|e| Failure::Unreadable(format!("unreadable list: {e}")))
    }
}

/// The reason why a call returned no list.
pub(super) enum Failure {
    /// Discovery rejected the call because it is overloaded.
    Overloaded(StatusCode),
    /// No answer within the time limit.
    TimedOut(&'static str),
    /// The response was not a list. The agent may believe that this gateway has a list which it does not have.
    Unreadable(String),
    /// The connection or the call failed in any other way.
    Other(String),
}

impl Failure {
    /// Returns the kind that decides when to retry.
    pub(super) fn kind(&self) -> FailureKind {
        match self {
            Failure::Overloaded(_) => FailureKind::Overloaded,
            Failure::TimedOut(_) => FailureKind::TimedOut,
            Failure::Unreadable(_) | Failure::Other(_) => FailureKind::Error,
        }
    }
}

impl From<String> for Failure {
    fn from(message: String) -> Self {
        Failure::Other(message)
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Overloaded(status) => write!(f, "call rejected, status {status}"),
            Failure::TimedOut(message) => f.write_str(message),
            Failure::Unreadable(message) | Failure::Other(message) => f.write_str(message),
        }
    }
}
