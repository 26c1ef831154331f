//! The operators' door: one call per connection, apart from the clients' listener and its limits.

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

/// A call must be over this long after its connection came.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// No call has need of a body; one longer than this is no call.
const MAX_BODY_BYTES: usize = 1024;
const MAX_HEAD_BYTES: usize = 8 * 1024;

type Answer = Response<Full<Bytes>>;

/// What operators may ask of this process.
pub struct Door {
    driver: Driver,
    server: Rc<Server>,
    figures: Rc<Metrics>,
    others: Rc<Handover>,
    most: usize,
}

fn say(status: StatusCode, text: &'static str) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *answer.status_mut() = status;
    answer
}

impl Door {
    pub fn new(
        driver: Driver,
        server: Rc<Server>,
        figures: Rc<Metrics>,
        others: Rc<Handover>,
        most: usize,
    ) -> Rc<Self> {
        Rc::new(Door { driver, server, figures, others, most })
    }

    /// Accepts for as long as the program runs. Danger: callers that say nothing must delay no other: the
    /// one that came first makes way, and has left before the next is let in.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut callers: VecDeque<JoinHandle<()>> = VecDeque::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(Duration::from_millis(10)).await;
                continue;
            };
            callers.retain(|c| !c.is_finished());
            while callers.len() >= self.most {
                let Some(caller) = callers.pop_front() else { break };
                // Danger: an aborted task holds its socket until the runtime has come to it.
                caller.abort();
                let _ = caller.await;
            }
            let door = self.clone();
            let call = async move { drop(timeout(CALL_TIMEOUT, door.serve(stream)).await) };
            callers.push_back(tokio::task::spawn_local(call));
            // Danger: of many that stand in the line, the first would make way before it was heard at all.
            yield_now().await;
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let service = service_fn(|request| async { Ok::<_, Infallible>(self.answer(request).await) });
        let mut http = http1::Builder::new();
        http.keep_alive(false).header_read_timeout(None).max_buf_size(MAX_HEAD_BYTES);
        // An error here is the caller's.
        drop(http.serve_connection(TokioIo::new(MeteredStream(Meter::new(stream))), service).await);
    }

    /// Danger: half a call must do nothing: it counts once its last byte has come.
    async fn answer(&self, request: Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        if Limited::new(body, MAX_BODY_BYTES).collect().await.is_err() {
            return say(StatusCode::BAD_REQUEST, "broken body\n");
        }
        let mut answer = self.call(&head.method, head.uri.path(), head.uri.query());
        answer.headers_mut().insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
        answer
    }

    fn call(&self, method: &Method, path: &str, query: Option<&str>) -> Answer {
        let wanted = match path {
            "/ready" | "/metrics" => Method::GET,
            "/backends/disable" | "/backends/enable" | "/drain" | "/undrain" => Method::PUT,
            _ => return say(StatusCode::NOT_FOUND, "no such call\n"),
        };
        if *method != wanted {
            let mut answer = say(StatusCode::METHOD_NOT_ALLOWED, "not this call's method\n");
            let allow = HeaderValue::from_static(if wanted == Method::GET { "GET" } else { "PUT" });
            answer.headers_mut().insert(ALLOW, allow);
            return answer;
        }
        match path {
            "/ready" if self.server.is_ready() => say(StatusCode::OK, "ready\n"),
            "/ready" => say(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            "/metrics" => {
                let mut report = self.figures.report(self.driver.backend_counts());
                report["guard_violations"] = self.driver.guard().report().into();
                report["local_failures"] = self.driver.local_failures().into();
                report["tasks"] = Handle::current().metrics().num_alive_tasks().into();
                let mut answer = Response::new(Full::new(report.to_string().into()));
                answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
                answer
            }
            "/drain" | "/undrain" => {
                self.driver.set_draining(path == "/drain");
                self.others.tell(&Message::Drain { on: path == "/drain" });
                log::info!("ops: {path}");
                say(StatusCode::OK, "done\n")
            }
            _ => self.bar(query.unwrap_or_default(), path == "/backends/disable"),
        }
    }

    fn bar(&self, query: &str, out: bool) -> Answer {
        let mut ids = form_urlencoded::parse(query.as_bytes()).filter(|(name, _)| name == "id");
        let (Some((_, id)), None) = (ids.next(), ids.next()) else {
            return say(StatusCode::BAD_REQUEST, "one id is wanted: ?id=ID\n");
        };
        if !self.driver.knows_backend(&id) {
            return say(StatusCode::NOT_FOUND, "no backend of this id\n");
        }
        self.driver.set_backend_disabled(&id, out);
        self.others.tell(&Message::Bar { name: id.to_string(), out });
        log::info!("ops: {id:?} {}", if out { "taken out" } else { "back in" });
        say(StatusCode::OK, "done\n")
    }
}
