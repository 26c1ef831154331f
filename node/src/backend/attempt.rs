//! Attempts, which send a client's request to a backend, and probes of ejected backends. Each is sent over a single
//! connection.

use super::load_report::{parse_billed_units, parse_load_report};
use super::message::{strip_hop_by_hop, Message, Payload};
use super::pool::{shortened_idle_timeout, Connection, Pool};
use crate::body::download::{AnswerBody, AnswerConnection, Deadline, Download};
use crate::body::gather::{gather, Gathered};
use crate::body::upload::UploadSource;
use crate::body::{MAX_BODY_BYTES, MAX_BUFFERED_BYTES};
use crate::guard::SendFacts;
use crate::link::{head_length, SendError};
use crate::memory::budget::Reservation;
use bytes::Bytes;
use caperwind::{BackendId, LoadReport, Outcome};
use http_body_util::{BodyExt, Either, Full};
use hyper::body::{Body, Incoming};
use hyper::header::HOST;
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout, timeout_at, Instant};

/// How long a chunked response, whose length is unknown, is buffered. If it is not complete by then, it is streamed.
const MAX_GATHER_TIME: Duration = Duration::from_millis(25);
/// Buffering a chunked response ends at least this long before the request's deadline.
const GATHER_MARGIN: Duration = Duration::from_millis(5);
/// A probe without a response after this time has failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
const LOAD_HEADER: &str = "x-backend-load";
const BILLED_UNITS_HEADER: &str = "billed-units";
const UNPROCESSED_HEADER: &str = "x-unprocessed";

/// The result of an attempt or a probe.
pub struct CompletedAttempt {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The load report in the response; empty if there is none.
    pub load: LoadReport,
    /// The units that the request cost, if the response states them.
    pub billed_units: Option<f64>,
    /// The response, if the outcome is [`Outcome::Ok`].
    pub answer: Option<Response<AnswerBody>>,
}

impl From<Outcome> for CompletedAttempt {
    fn from(outcome: Outcome) -> Self {
        CompletedAttempt { outcome, load: LoadReport::default(), billed_units: None, answer: None }
    }
}

/// The client closed its connection before the attempt was sent.
pub struct ClientClosed;

/// The time limits of an attempt.
pub struct AttemptLimits {
    /// The response is waited for until this deadline.
    pub deadline: Deadline,
    /// The attempt may only be sent before this time, however long connecting takes; `None` sets no limit.
    pub begin_by: Option<Instant>,
}

impl AttemptLimits {
    /// Returns whether the attempt may no longer be sent.
    fn too_late(&self) -> bool {
        self.begin_by.is_some_and(|by| Instant::now() >= by)
    }
}

/// What belongs to a response apart from its head and body.
struct ResponseContext {
    id: BackendId,
    connection: Connection,
    /// The request's deadline, if the response may be passed on to a client.
    deadline: Option<Deadline>,
    /// The request's body, if it is streamed.
    upload: Option<Rc<UploadSource>>,
}

/// The connection of a streamed response, which returns to the pool afterwards.
struct PooledConnection {
    pool: Rc<Pool>,
    id: BackendId,
    connection: Connection,
    upload: Option<Rc<UploadSource>>,
}

/// Returns whether the whole request has been sent; its connection can't be reused before that.
fn request_sent(upload: Option<&Rc<UploadSource>>) -> bool {
    upload.is_none_or(|source| source.framed_length().is_some())
}

impl AnswerConnection for PooledConnection {
    fn backend(&self) -> SocketAddr {
        self.connection.address
    }

    fn has_unread(&self) -> bool {
        !self.connection.link.meter().is_open_and_empty()
    }

    fn release(self: Box<Self>) {
        if request_sent(self.upload.as_ref()) {
            self.pool.put_back(self.id, self.connection);
        }
    }
}

/// Returns the outcome of an attempt whose response has this head.
fn outcome_of(head: &Parts) -> Outcome {
    let unprocessed = head.headers.get(UNPROCESSED_HEADER).is_some_and(|v| v == "1");
    match head.status {
        StatusCode::OK => Outcome::Ok,
        // Without the `x-unprocessed` field, a 503 or 504 may come from a backend that has processed the request.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unprocessed => Outcome::Full,
        _ => Outcome::Error,
    }
}

impl Pool {
    /// Makes one attempt: sends the message once, over one connection. Dropping the future cancels the attempt by
    /// closing that connection.
    ///
    /// # Errors
    ///
    /// Returns [`ClientClosed`] if the client closed its connection before the message was sent.
    pub async fn attempt(
        self: &Rc<Self>,
        id: BackendId,
        message: &Message,
        limits: &AttemptLimits,
    ) -> Result<CompletedAttempt, ClientClosed> {
        let deadline = &limits.deadline;
        // An attempt sent after the client has left would do useless work and still be counted.
        if message.client.peer_closed() {
            return Err(ClientClosed);
        }
        // A body that can be sent only once needs a new connection: an idle one may have failed unnoticed.
        let single_use = matches!(message.body, Payload::Streamed(_));
        let mut reused = if single_use { None } else { self.take_idle(id) };
        loop {
            let idle_time = reused.as_ref().map(|r| r.1);
            let mut connection = match reused.take() {
                Some((connection, _)) => connection,
                None => match self.open_connection_by(id, limits.begin_by).await {
                    Ok(connection) => connection,
                    // Another backend may take the request if this one has gone out of service meanwhile.
                    Err(_) if self.generation(id).is_none() => return Ok(Outcome::Full.into()),
                    Err(outcome) => return Ok(outcome.into()),
                },
            };
            match connection.link.ready().await {
                Ok(()) => {}
                // The idle connection had failed unnoticed and nothing was sent: try another one.
                Err(_) if idle_time.is_some() => continue,
                Err(_) => return Ok(Outcome::ConnectFailed.into()),
            }
            // There is no await between these checks and sending the attempt, so that they still hold when it is
            // sent.
            let client_closed = message.client.peer_closed();
            if client_closed {
                return Err(ClientClosed);
            }
            // The window in which a retry is allowed may have ended while connecting.
            if limits.too_late() {
                return Ok(Outcome::NotSent.into());
            }
            // The backend may have started to drain or moved to another address since the connection was opened.
            let generation = self.generation(id);
            match generation {
                None => return Ok(Outcome::Full.into()),
                Some(generation) if generation != connection.generation => continue,
                Some(_) => {}
            }
            let time_left = deadline.get().saturating_duration_since(Instant::now());
            if time_left.is_zero() {
                return Ok(Outcome::NotSent.into());
            }
            let announced_time = message.announced_time(time_left);
            let backend_in_service = generation == Some(connection.generation);
            let facts = SendFacts { client_closed, backend_in_service, time_left, announced_time };
            if let Err(violation) = facts.check() {
                self.guard.record(violation, &format!("{} {}", message.method, message.target));
                return Ok(Outcome::NotSent.into());
            }
            // Another attempt may have taken the body, or brought the answer, since this one was begun.
            let request = if message.answered.get() { None } else { message.request(announced_time) };
            let Some(request) = request else {
                self.put_back(id, connection);
                return Ok(Outcome::NotSent.into());
            };
            let (head_bytes, written_before) = (head_length(&request), connection.link.written());
            let request_length = || message.body.framed_length().map(|body_bytes| head_bytes + body_bytes);
            match (&message.body, request_length()) {
                (Payload::Whole { .. }, Some(n)) => connection
                    .link
                    .meter()
                    .count_when_written(written_before + n, self.attempts_written.clone()),
                (Payload::Streamed(source), _) => source.count_when_written(
                    connection.link.meter(),
                    self.attempts_written.clone(),
                    written_before + head_bytes,
                ),
                _ => {}
            }
            match connection.link.send(request, request_length).await {
                Ok(response) => {
                    let (deadline, upload) = (Some(deadline.clone()), message.body.upload_source());
                    let context = ResponseContext { id, connection, deadline, upload };
                    return Ok(self.read_response(response, context).await);
                }
                Err(SendError { fully_written: true }) => {
                    // Some backends close idle connections earlier than announced, and unnoticed here. The request
                    // may have been processed, so it is not sent again; idle connections are kept for a shorter time.
                    self.idle_timeout.set(idle_time.map_or(self.idle_timeout.get(), |idle_time| {
                        shortened_idle_timeout(self.idle_timeout.get(), idle_time)
                    }));
                    return Ok(Outcome::Reset.into());
                }
                // Not a byte was written to an idle connection that had failed unnoticed: try another one.
                Err(_) if idle_time.is_some() && connection.link.written() == written_before => continue,
                Err(_) => return Ok(Outcome::ConnectFailed.into()),
            }
        }
    }

    /// Opens a new connection, giving up at `begin_by`, the time by which the attempt must be sent.
    async fn open_connection_by(
        &self,
        id: BackendId,
        begin_by: Option<Instant>,
    ) -> Result<Connection, Outcome> {
        match begin_by {
            None => self.open_connection(id).await,
            Some(by) => timeout_at(by, self.open_connection(id)).await.unwrap_or(Err(Outcome::NotSent)),
        }
    }

    /// Reads a response: to its end if it is small, otherwise its beginning, with the rest to be streamed. A
    /// malformed or interrupted response counts as [`Outcome::Reset`], since its request may have been processed.
    async fn read_response(
        self: &Rc<Self>,
        response: Response<Incoming>,
        context: ResponseContext,
    ) -> CompletedAttempt {
        let (mut head, body) = response.into_parts();
        let load = self.parse_load(head.headers.get(LOAD_HEADER).map(|v| v.as_bytes()));
        let length = body.size_hint().exact();
        // A body that is too long is not read, and a protocol switch is refused since none was requested.
        if length.is_some_and(|n| n > MAX_BODY_BYTES) || head.status.is_informational() {
            return CompletedAttempt { load, ..Outcome::Reset.into() };
        }
        let deadline = context.deadline.clone().filter(|_| head.status == StatusCode::OK);
        let (gathered, reservation) = self.gather(body, length, deadline.as_ref()).await;
        let outcome = outcome_of(&head);
        let billed_units = head.headers.get(BILLED_UNITS_HEADER).filter(|_| outcome == Outcome::Ok);
        let billed_units = billed_units.and_then(|v| parse_billed_units(v.to_str().ok()?, self.max_units));
        strip_hop_by_hop(&mut head.headers);
        head.headers.remove(LOAD_HEADER);
        let body = match gathered {
            Gathered::Whole(body) => {
                if request_sent(context.upload.as_ref()) {
                    self.put_back(context.id, context.connection);
                }
                Either::Left(Full::new(body))
            }
            Gathered::Partial(first, rest) => match deadline {
                Some(deadline) => {
                    let ResponseContext { id, connection, upload, .. } = context;
                    let connection = PooledConnection { pool: self.clone(), id, connection, upload };
                    let connection = Box::new(connection);
                    Either::Right(Download::new(first, reservation, rest, deadline, connection))
                }
                // The body of a response that is not passed on is not needed.
                None if outcome != Outcome::Ok => Either::Left(Full::default()),
                None => return CompletedAttempt { load, ..Outcome::Reset.into() },
            },
            Gathered::Failed => return CompletedAttempt { load, ..Outcome::Reset.into() },
        };
        let answer = (outcome == Outcome::Ok).then(|| Response::from_parts(head, body));
        CompletedAttempt { outcome, load, billed_units, answer }
    }

    /// Buffers a response that may be small, if there is memory for it. A response of unknown length that may be
    /// passed on is buffered for at most `MAX_GATHER_TIME`, and at the latest until `GATHER_MARGIN` before the
    /// deadline: buffering up to the deadline would time the attempt out although its first bytes arrived in time.
    /// Returns also the memory reserved for buffering.
    async fn gather(
        &self,
        body: Incoming,
        length: Option<u64>,
        deadline: Option<&Deadline>,
    ) -> (Gathered, Option<Reservation>) {
        let small = length.is_none_or(|n| n <= MAX_BUFFERED_BYTES as u64);
        let bytes = length.and_then(|n| usize::try_from(n).ok()).unwrap_or(MAX_BUFFERED_BYTES);
        let reservation = if small { self.body_budget.reserve(bytes) } else { None };
        let until = deadline.filter(|_| length.is_none());
        let until = until.map(|end| (Instant::now() + MAX_GATHER_TIME).min(end.get() - GATHER_MARGIN));
        let gathered = match reservation {
            Some(_) => gather(body, until).await,
            None => Gathered::Partial(Bytes::new(), body),
        };
        (gathered, reservation)
    }

    /// Probes a backend by requesting its load report over a new connection. Its idle connections are closed: it is
    /// probed because it was ejected, and they may lead to a machine that has become unreachable and would stay
    /// silent even if its replacement works.
    pub async fn probe(self: &Rc<Self>, id: BackendId) -> CompletedAttempt {
        self.close_idle(id);
        let exchange = async {
            let mut connection = match self.open_connection(id).await {
                Ok(connection) => connection,
                Err(outcome) => return outcome.into(),
            };
            let request =
                Request::get("/load").header(HOST, "backend.local").body(Either::Left(Full::default()));
            let Ok(request) = request else { return Outcome::NotSent.into() };
            let length = head_length(&request);
            let response = match connection.link.send(request, || Some(length)).await {
                Ok(response) => response,
                Err(SendError { fully_written: true }) => return Outcome::Reset.into(),
                Err(_) => return Outcome::ConnectFailed.into(),
            };
            let mut result = self
                .read_response(response, ResponseContext { id, connection, deadline: None, upload: None })
                .await;
            let report = result.answer.take().filter(|_| result.load.len == 0);
            if let Some(Either::Left(report)) = report.map(|r| r.into_body()) {
                let text = report.collect().await.map(|b| b.to_bytes()).unwrap_or_default();
                result.load = self.parse_load(Some(&text));
            }
            result
        };
        timeout(PROBE_TIMEOUT, exchange).await.unwrap_or_else(|_| Outcome::Timeout.into())
    }

    /// Parses a load report, keeping the fields named in the settings.
    fn parse_load(&self, text: Option<&[u8]>) -> LoadReport {
        parse_load_report(&self.load_fields, text.and_then(|t| std::str::from_utf8(t).ok()).unwrap_or(""))
    }
}
