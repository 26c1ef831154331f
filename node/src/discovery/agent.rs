//! One connection to discovery, and the calls over it.

use super::patience::Trouble;
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

const MOST_BYTES: usize = 4 << 20;

pub(super) struct Agent {
    address: SocketAddr,
    sender: http1::SendRequest<Empty<Bytes>>,
    task: AbortHandle,
}

/// A connection that has fallen silent is closed with its last call.
impl Drop for Agent {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Agent {
    pub(super) async fn connect(address: SocketAddr, limit: Duration) -> Result<Self, Failure> {
        let stream = timeout(limit, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| Failure::Silent("connect: no answer"))?;
        let stream = stream.map_err(|e| format!("connect: {e}"))?;
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        let (sender, conn) = http1::handshake(TokioIo::new(MeteredStream(Meter::new(stream))))
            .await
            .map_err(|e| e.to_string())?;
        let task = tokio::task::spawn_local(conn).abort_handle();
        Ok(Agent { address, sender, task })
    }

    pub(super) async fn ask(&mut self, path: &str, limit: Duration) -> Result<EndpointList, Failure> {
        let request = hyper::Request::get(path).header("host", self.address.to_string());
        let request = request.body(Empty::new()).map_err(|e| e.to_string())?;
        let call = async {
            self.sender.ready().await.map_err(|e| e.to_string())?;
            let answer = self.sender.send_request(request).await.map_err(|e| e.to_string())?;
            match answer.status() {
                StatusCode::OK => {}
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                    return Err(Failure::TurnedAway(answer.status()))
                }
                other => return Err(Failure::Other(format!("status {other}"))),
            }
            let body = Limited::new(answer.into_body(), MOST_BYTES).collect().await;
            Ok(body.map_err(|e| e.to_string())?.to_bytes())
        };
        let body = timeout(limit, call).await.map_err(|_| Failure::Silent("no answer in time"))??;
        serde_json::from_slice(&body).map_err(|e| Failure::Unreadable(format!("unreadable list: {e}")))
    }
}

/// Why a call told nothing.
pub(super) enum Failure {
    /// Discovery has more calls than it bears.
    TurnedAway(StatusCode),
    /// No answer in time.
    Silent(&'static str),
    /// What came is no list: what is held may not be what the agent holds it to be.
    Unreadable(String),
    Other(String),
}

impl Failure {
    pub(super) fn trouble(&self) -> Trouble {
        match self {
            Failure::TurnedAway(_) => Trouble::TurnedAway,
            Failure::Silent(_) => Trouble::Silent,
            Failure::Unreadable(_) | Failure::Other(_) => Trouble::Broke,
        }
    }
}

impl From<String> for Failure {
    fn from(why: String) -> Self {
        Failure::Other(why)
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::TurnedAway(status) => write!(f, "turned away: {status}"),
            Failure::Silent(why) => f.write_str(why),
            Failure::Unreadable(why) | Failure::Other(why) => f.write_str(why),
        }
    }
}
