//! The operators' HTTP server. It takes one call per connection, and is separate from the clients' listener and
//! its limits.

use crate::driver::Driver;
use crate::figures::Metrics;
use crate::handover::{Handover, Message};
use crate::meter::{Meter, MeteredStream};
use crate::server::Server;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, ALLOW, CACHE_CONTROL, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::task::{yield_now, JoinHandle};
use tokio::time::{sleep, timeout};

/// A call must have ended this long after its connection was accepted.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum size of a call's body. No call needs one, so a longer one is rejected.
const MAX_BODY_BYTES: usize = 1024;
/// The maximum size of a call's head.
const MAX_HEAD_BYTES: usize = 8 * 1024;

type Answer = Response<Full<Bytes>>;

/// The server of the calls with which operators watch and control this process.
pub struct OperatorServer {
    driver: Driver,
    server: Rc<Server>,
    metrics: Rc<Metrics>,
    handover: Rc<Handover>,
    max_connections: usize,
}

/// Returns an answer with this status and body.
fn text_answer(status: StatusCode, text: &'static str) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *answer.status_mut() = status;
    answer
}

impl OperatorServer {
    /// Creates a server that holds at most `max_connections` connections.
    pub fn new(
        driver: Driver,
        server: Rc<Server>,
        metrics: Rc<Metrics>,
        handover: Rc<Handover>,
        max_connections: usize,
    ) -> Rc<Self> {
        Rc::new(OperatorServer { driver, server, metrics, handover, max_connections })
    }

    /// Accepts connections for as long as the process runs. When all connections are taken, the oldest is closed
    /// before the next is served, so that callers that send nothing do not keep others out.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut callers: VecDeque<JoinHandle<()>> = VecDeque::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(10)).await;
                continue;
            };
            callers.retain(|caller| !caller.is_finished());
            while callers.len() >= self.max_connections {
                let Some(caller) = callers.pop_front() else { break };
                // An aborted task holds its socket until the runtime has dropped it.
                caller.abort();
                let _ = caller.await;
            }
            let operator_server = self.clone();
            let call = async move { drop(timeout(CALL_TIMEOUT, operator_server.serve(stream)).await) };
            callers.push_back(tokio::task::spawn_local(call));
            // Lets the call run once: if many connections are waiting to be accepted, the first would otherwise
            // be closed before it was read at all.
            yield_now().await;
        }
    }

    /// Serves the one call of a connection.
    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let service = service_fn(|request| async { Ok::<_, Infallible>(self.answer(request).await) });
        let mut http = http1::Builder::new();
        http.keep_alive(false).header_read_timeout(None).max_buf_size(MAX_HEAD_BYTES);
        // An error here is the caller's fault, or concerns only the caller.
        drop(http.serve_connection(TokioIo::new(MeteredStream(Meter::new(stream))), service).await);
    }

    /// Answers a call once its last byte has arrived, so that half a call has no effect.
    async fn answer(&self, request: Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        if Limited::new(body, MAX_BODY_BYTES).collect().await.is_err() {
            return text_answer(StatusCode::BAD_REQUEST, "broken body\n");
        }
        let mut answer = self.call(&head.method, head.uri.path(), head.uri.query());
        answer.headers_mut().insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
        answer
    }

    /// Carries out a call.
    fn call(&self, method: &Method, path: &str, query: Option<&str>) -> Answer {
        let expected_method = match path {
            "/ready" | "/metrics" => Method::GET,
            "/backends/disable" | "/backends/enable" | "/drain" | "/undrain" => Method::PUT,
            _ => return text_answer(StatusCode::NOT_FOUND, "no such call\n"),
        };
        if *method != expected_method {
            let mut answer = text_answer(StatusCode::METHOD_NOT_ALLOWED, "not this call's method\n");
            let allow = HeaderValue::from_static(if expected_method == Method::GET { "GET" } else { "PUT" });
            answer.headers_mut().insert(ALLOW, allow);
            return answer;
        }
        match path {
            "/ready" if self.server.is_ready() => text_answer(StatusCode::OK, "ready\n"),
            "/ready" => text_answer(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            "/metrics" => {
                let mut report = self.metrics.report(self.driver.backend_counts());
                report["guard_violations"] = self.driver.guard().report().into();
                report["local_failures"] = self.driver.local_failures().into();
                report["tasks"] = Handle::current().metrics().num_alive_tasks().into();
                let mut answer = Response::new(Full::new(report.to_string().into()));
                answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
                answer
            }
            "/drain" | "/undrain" => {
                self.driver.set_draining(path == "/drain");
                self.handover.broadcast(&Message::Drain { on: path == "/drain" });
                log::info!("ops: {path} called");
                text_answer(StatusCode::OK, "done\n")
            }
            _ => self.set_backend_disabled(query.unwrap_or_default(), path == "/backends/disable"),
        }
    }

    /// Disables or enables the backend that the query names, here and in the other processes of this gateway.
    fn set_backend_disabled(&self, query: &str, disabled: bool) -> Answer {
        let mut ids = form_urlencoded::parse(query.as_bytes()).filter(|(name, _)| name == "id");
        let (Some((_, id)), None) = (ids.next(), ids.next()) else {
            return text_answer(StatusCode::BAD_REQUEST, "one id is wanted: ?id=ID\n");
        };
        if !self.driver.knows_backend(&id) {
            return text_answer(StatusCode::NOT_FOUND, "no backend of this id\n");
        }
        self.driver.set_backend_disabled(&id, disabled);
        self.handover.broadcast(&Message::Bar { name: id.to_string(), out: disabled });
        log::info!("ops: backend {id:?} {}", if disabled { "disabled" } else { "enabled" });
        text_answer(StatusCode::OK, "done\n")
    }
}
