//! Attempts and probes, each over one connection.

use super::load_report::{parse_billed_units, parse_load_report};
use super::message::{strip_hop_by_hop, Message, Payload};
use super::pool::{shortened_idle_timeout, Connection, Pool};
use crate::body::download::{AnswerBody, AnswerConnection, Deadline, Download};
use crate::body::gather::{gather, Gathered};
use crate::body::upload::UploadSource;
use crate::body::{MAX_BODY_BYTES, MAX_BUFFERED_BYTES};
use crate::guard::SendFacts;
use crate::link::{head_length, SendError};
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

/// An answer in chunks, whose length is not told, is held for so long; what is not whole then is passed on.
const GATHER_TIME: Duration = Duration::from_millis(25);
/// It is passed on this long before its request's time ends, at the latest.
const GATHER_MARGIN: Duration = Duration::from_millis(5);
/// A probe unanswered by then has failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
const LOAD_HEADER: &str = "x-backend-load";
const BILLED: &str = "billed-units";
const NOT_RUN: &str = "x-unprocessed";

/// What came of an attempt or a probe.
pub struct CompletedAttempt {
    pub outcome: Outcome,
    pub load: LoadReport,
    /// The true units of what was served, where the answer tells them.
    pub billed_units: Option<f64>,
    /// The answer, where it was served.
    pub answer: Option<Response<AnswerBody>>,
}

impl From<Outcome> for CompletedAttempt {
    fn from(outcome: Outcome) -> Self {
        CompletedAttempt { outcome, load: LoadReport::default(), billed_units: None, answer: None }
    }
}

/// The client has closed its connection: nothing was sent.
pub struct ClientClosed;

/// How long an attempt has.
pub struct AttemptLimits {
    /// Its answer is waited for until then.
    pub deadline: Deadline,
    /// It may not begin from then on, however long its connection takes to come up.
    pub begin_by: Option<Instant>,
}

impl AttemptLimits {
    /// Whether it may not begin any more.
    fn too_late(&self) -> bool {
        self.begin_by.is_some_and(|by| Instant::now() >= by)
    }
}

/// What is known of an answer beside itself.
struct Received {
    id: BackendId,
    connection: Connection,
    /// The end of its request's time, if it may be passed on to a client.
    deadline: Option<Deadline>,
    /// The request's body, where it is passed on as it comes.
    upload: Option<Rc<UploadSource>>,
}

/// The connection of an answer that is passed on.
struct PooledConnection {
    pool: Rc<Pool>,
    id: BackendId,
    connection: Connection,
    upload: Option<Rc<UploadSource>>,
}

/// Whether all of a request has gone: its connection is of no use before.
fn request_sent(upload: Option<&Rc<UploadSource>>) -> bool {
    upload.is_none_or(|source| source.framed().is_some())
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

/// What an answer says of its attempt.
fn outcome_of(head: &Parts) -> Outcome {
    let not_run = head.headers.get(NOT_RUN).is_some_and(|v| v == "1");
    match head.status {
        StatusCode::OK => Outcome::Ok,
        // Danger: without that field a 503 may come from a backend that did the work.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run => Outcome::Full,
        _ => Outcome::Error,
    }
}

impl Pool {
    /// One attempt: the message goes once, over one connection. Dropping the future closes that
    /// connection, which is how an attempt is given up.
    pub async fn attempt(
        self: &Rc<Self>,
        id: BackendId,
        message: &Message,
        limits: &AttemptLimits,
    ) -> Result<CompletedAttempt, ClientClosed> {
        let deadline = &limits.deadline;
        // Danger: an attempt that begins after its client has closed is work for nobody, and counts.
        if message.client.peer_closed() {
            return Err(ClientClosed);
        }
        // What can be sent once takes no chance with a connection that may have died unseen.
        let once = matches!(message.body, Payload::Streamed(_));
        let mut reused = if once { None } else { self.reuse(id) };
        loop {
            let idle = reused.as_ref().map(|r| r.1);
            let mut connection = match reused.take() {
                Some((connection, _)) => connection,
                None => match self.open_by(id, limits.begin_by).await {
                    Ok(connection) => connection,
                    Err(outcome) => return Ok(outcome.into()),
                },
            };
            match connection.link.ready().await {
                Ok(()) => {}
                // It had died unseen: the attempt is yet to begin.
                Err(_) if idle.is_some() => continue,
                Err(_) => return Ok(Outcome::ConnectFailed.into()),
            }
            // From here on nothing waits until the attempt is on its way.
            let client_closed = message.client.peer_closed();
            if client_closed {
                return Err(ClientClosed);
            }
            // Danger: the window of a repeat may have ended while the connection came up.
            if limits.too_late() {
                return Ok(Outcome::NotSent.into());
            }
            // Danger: the backend may have begun to drain, or be elsewhere, since the connection was begun.
            let era = self.era(id);
            match era {
                None => return Ok(Outcome::Full.into()),
                Some(era) if era != connection.era => continue,
                Some(_) => {}
            }
            let left = deadline.get().saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(Outcome::NotSent.into());
            }
            let told = message.time_to_tell(left);
            let backend_in_service = era == Some(connection.era);
            let facts =
                SendFacts { client_closed, backend_in_service, time_left: left, announced_time: told };
            if let Err(violation) = facts.check() {
                self.guard.record(violation, &format!("{} {}", message.method, message.target));
                return Ok(Outcome::NotSent.into());
            }
            let request = message.request(told);
            let (head, before) = (head_length(&request), connection.link.written());
            let length = || message.body.framed().map(|body| head + body);
            match (&message.body, length()) {
                (Payload::Whole { .. }, Some(n)) => {
                    connection.link.meter().aim(before + n, self.attempts_written.clone())
                }
                (Payload::Streamed(source), _) => {
                    source.count_in(connection.link.meter(), self.attempts_written.clone(), before + head)
                }
                _ => {}
            }
            match connection.link.send(request, length).await {
                Ok(response) => {
                    let (deadline, upload) = (Some(deadline.clone()), message.body.upload());
                    let received = Received { id, connection, deadline, upload };
                    return Ok(self.read(response, received).await);
                }
                Err(SendError { fully_written: true }) => {
                    // Danger: some let go of an idle connection sooner than they say, and unseen; what is
                    // written to it may have run for all that is known here.
                    self.holds.set(
                        idle.map_or(self.holds.get(), |idle| shortened_idle_timeout(self.holds.get(), idle)),
                    );
                    return Ok(Outcome::Reset.into());
                }
                // Not a byte went out on a connection that had died unseen: the attempt is yet to begin.
                Err(_) if idle.is_some() && connection.link.written() == before => continue,
                Err(_) => return Ok(Outcome::ConnectFailed.into()),
            }
        }
    }

    /// A new connection, which is not waited for beyond the time by which an attempt must begin.
    async fn open_by(&self, id: BackendId, begin_by: Option<Instant>) -> Result<Connection, Outcome> {
        match begin_by {
            None => self.open(id).await,
            Some(by) => timeout_at(by, self.open(id)).await.unwrap_or(Err(Outcome::NotSent)),
        }
    }

    /// Reads an answer: to its end where it is small, else its beginning, with the rest to follow. A spoilt one
    /// may have run.
    async fn read(self: &Rc<Self>, response: Response<Incoming>, received: Received) -> CompletedAttempt {
        let (mut head, body) = response.into_parts();
        let load = self.load(head.headers.get(LOAD_HEADER).map(|v| v.as_bytes()));
        let length = body.size_hint().exact();
        // No end is waited for that can't be kept, and no other protocol follows what was no offer of one.
        if length.is_some_and(|n| n > MAX_BODY_BYTES) || head.status.is_informational() {
            return CompletedAttempt { load, ..Outcome::Reset.into() };
        }
        let deadline = received.deadline.clone().filter(|_| head.status == StatusCode::OK);
        let gathered = self.gather(body, length, deadline.as_ref()).await;
        let outcome = outcome_of(&head);
        let billed = head.headers.get(BILLED).filter(|_| outcome == Outcome::Ok);
        let billed = billed.and_then(|v| parse_billed_units(v.to_str().ok()?, self.units_top));
        strip_hop_by_hop(&mut head.headers);
        head.headers.remove(LOAD_HEADER);
        let body = match gathered {
            Gathered::Whole(body) => {
                if request_sent(received.upload.as_ref()) {
                    self.put_back(received.id, received.connection);
                }
                Either::Left(Full::new(body))
            }
            Gathered::Partial(first, rest) => match deadline {
                Some(deadline) => {
                    let Received { id, connection, upload, .. } = received;
                    let connection = PooledConnection { pool: self.clone(), id, connection, upload };
                    let connection = Box::new(connection);
                    Either::Right(Download::new(first, rest, deadline, connection))
                }
                // What an answer that is none of ours to pass on has to say is not waited for.
                None if outcome != Outcome::Ok => Either::Left(Full::default()),
                None => return CompletedAttempt { load, ..Outcome::Reset.into() },
            },
            Gathered::Failed => return CompletedAttempt { load, ..Outcome::Reset.into() },
        };
        let answer = (outcome == Outcome::Ok).then(|| Response::from_parts(head, body));
        CompletedAttempt { outcome, load, billed_units: billed, answer }
    }

    /// Gathers an answer that may be small, as far as there is memory for it. One that may be passed on is waited
    /// for no longer than `GATHER_TIME` where its length is not told, and not up to the end of its request's time:
    /// that would end its attempt, though its first bytes have come in time.
    async fn gather(&self, body: Incoming, length: Option<u64>, deadline: Option<&Deadline>) -> Gathered {
        let small = length.is_none_or(|n| n <= MAX_BUFFERED_BYTES as u64);
        let bytes = length.and_then(|n| usize::try_from(n).ok()).unwrap_or(MAX_BUFFERED_BYTES);
        let reservation = if small { self.bodies.reserve(bytes) } else { None };
        let until = deadline.filter(|_| length.is_none());
        let until = until.map(|end| (Instant::now() + GATHER_TIME).min(end.get() - GATHER_MARGIN));
        match reservation {
            Some(_) => gather(body, until).await,
            None => Gathered::Partial(Bytes::new(), body),
        }
    }

    /// Asks a backend how it is, over a new connection. Danger: one is probed because it was ejected,
    /// and what was open to it may lead to a machine that was cut off: silent, whatever the new one says.
    pub async fn probe(self: &Rc<Self>, id: BackendId) -> CompletedAttempt {
        self.close_idle(id);
        let ask = async {
            let mut connection = match self.open(id).await {
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
            let mut finish =
                self.read(response, Received { id, connection, deadline: None, upload: None }).await;
            let report = finish.answer.take().filter(|_| finish.load.len == 0);
            if let Some(Either::Left(report)) = report.map(|r| r.into_body()) {
                let text = report.collect().await.map(|b| b.to_bytes()).unwrap_or_default();
                finish.load = self.load(Some(&text));
            }
            finish
        };
        timeout(PROBE_TIMEOUT, ask).await.unwrap_or_else(|_| Outcome::Timeout.into())
    }

    /// A load report: `TEXT name=value, name=value`. Fields that the settings do not name are passed over.
    fn load(&self, text: Option<&[u8]>) -> LoadReport {
        parse_load_report(&self.load_fields, text.and_then(|t| std::str::from_utf8(t).ok()).unwrap_or(""))
    }
}
