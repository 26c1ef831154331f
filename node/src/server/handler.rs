//! One request: checked, handed to the driver, and answered.

use super::connection::{ClientConnection, Phase};
use super::transfer::{RequestLabel, StreamedAnswer, UploadWatch};
use super::Server;
use crate::admission::{admit, Fault, Terms};
use crate::backend::message::strip_hop_by_hop;
use crate::backend::{Message, Payload};
use crate::body::gather::{gather, Gathered};
use crate::body::interruption::UploadInterruption;
use crate::body::upload::UploadSource;
use crate::body::MAX_BUFFERED_BYTES;
use crate::driver::{Reply, Ticket};
use crate::figures::{Ending, Taken};
use crate::reasons::Refused;
use bytes::Bytes;
use caperwind::{ClassIndex, Micros};
use http_body_util::{Either, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode, Uri};
use std::rc::Rc;
use std::time::Duration;

/// An answer to a client.
pub(super) type Answer = Response<Either<Full<Bytes>, StreamedAnswer>>;

/// A request's body: whole, or as far as it has come.
enum Received {
    Whole { payload: Payload, taken: Taken },
    Coming(Rc<UploadSource>),
}

fn plain(status: StatusCode, text: &'static str) -> Answer {
    let mut answer = Response::new(Either::Left(Full::new(Bytes::from_static(text.as_bytes()))));
    *answer.status_mut() = status;
    answer
}

/// An answer after which nothing more is read.
fn last(status: StatusCode, text: &'static str) -> Answer {
    let mut answer = plain(status, text);
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}

/// What is passed on of a request: all but what concerns its connection alone.
fn message(head: Parts, body: Payload, wait: Micros, client: &ClientConnection) -> Message {
    let mut headers = head.headers;
    strip_hop_by_hop(&mut headers);
    // A target in absolute form goes on as a path, as backends expect it.
    let target = head.uri.path_and_query().map_or_else(Uri::default, |p| Uri::from(p.clone()));
    Message {
        method: head.method,
        target,
        headers,
        body,
        client_wait: Duration::from_micros(wait),
        client: client.meter.clone(),
    }
}

impl Server {
    /// Answers one request of a client.
    pub(super) async fn answer(&self, request: Request<Incoming>, client: &Rc<ClientConnection>) -> Answer {
        if client.phase() == Phase::Idle {
            client.enter(Phase::Coming);
        }
        if request.uri().path() == "/healthz" {
            return self.health(request.method());
        }
        let (head, body) = request.into_parts();
        let (terms, length) = match admit(&head, self.driver.config()) {
            Ok(admitted) => admitted,
            // Where it is wrong in one thing, its end may be elsewhere than it says, too.
            Err((status, text)) => return last(status, text),
        };
        let chunked = head.headers.contains_key(TRANSFER_ENCODING);
        // Danger: what one reader takes for a body may hold a request for another, who goes by the length.
        if chunked && client.meter.recorded_head_has_field("content-length") != Some(false) {
            return last(StatusCode::BAD_REQUEST, "two lengths\n");
        }
        client.take_request(&terms.id);
        client.enter_body();
        self.waits.notify_one();
        let label = RequestLabel { class: terms.class, id: terms.id.clone() };
        let mut upload = UploadWatch::new(client.clone(), self.figures.clone(), label.clone());
        let received = match self.receive(&head, body, length, label.class, client, &mut upload).await {
            Ok(received) => received,
            Err((status, text)) => return last(status, text),
        };
        match received {
            Received::Whole { payload, taken } => {
                let terms = Terms { wait: left_of(terms.wait, client), ..terms };
                let ticket = self.submit(message(head, payload, terms.wait, client), terms);
                match ticket {
                    Ok(mut ticket) => self.reply(ticket.answer().await, label, taken, client).await,
                    Err((status, text)) => last(status, text),
                }
            }
            Received::Coming(source) => self.answer_coming(head, source, terms, label, upload, client).await,
        }
    }

    fn health(&self, method: &Method) -> Answer {
        match (method == Method::GET, self.serving()) {
            (false, _) => last(StatusCode::METHOD_NOT_ALLOWED, "GET only\n"),
            (_, true) => plain(StatusCode::OK, "ready\n"),
            (_, false) => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        }
    }

    /// Takes a body: a small one whole, else its beginning, with the rest to follow.
    async fn receive(
        &self,
        head: &Parts,
        body: Incoming,
        length: Option<u64>,
        class: ClassIndex,
        client: &Rc<ClientConnection>,
        upload: &mut UploadWatch,
    ) -> Result<Received, Fault> {
        let small = length.filter(|n| *n <= MAX_BUFFERED_BYTES as u64).and_then(|n| usize::try_from(n).ok());
        let reservation = self.bodies.reserve(small.unwrap_or(MAX_BUFFERED_BYTES));
        if reservation.is_none() && small.is_some() {
            self.figures.settle(class, Ending::Dropped);
            let name = client.requests().1;
            self.figures.reasons.refused(name.as_deref().unwrap_or_default(), Refused::BodiesFull);
            match body.is_end_stream() {
                true => upload.complete(),
                false => upload.interrupt(UploadInterruption::AnsweredEarly),
            }
            return Err((StatusCode::SERVICE_UNAVAILABLE, "too much in hand\n"));
        }
        let gathered = match &reservation {
            Some(_) => gather(body, None).await,
            None => Gathered::Partial(Bytes::new(), body),
        };
        match (gathered, reservation) {
            (Gathered::Whole(body), Some(reservation)) => {
                upload.complete();
                if head.method == Method::GET && !body.is_empty() {
                    return Err((StatusCode::BAD_REQUEST, "GET takes no body\n"));
                }
                client.enter(Phase::Work);
                let payload = Payload::Whole { body, _reservation: reservation };
                Ok(Received::Whole { payload, taken: self.figures.take() })
            }
            (Gathered::Partial(..), _) if head.method == Method::GET => {
                upload.interrupt(UploadInterruption::AnsweredEarly);
                Err((StatusCode::BAD_REQUEST, "GET takes no body\n"))
            }
            (Gathered::Partial(first, rest), reservation) => {
                let backpressure = client.backpressure.clone();
                Ok(Received::Coming(UploadSource::new(first, reservation, rest, length, backpressure)))
            }
            _ => {
                upload.interrupt(UploadInterruption::ClientBroke);
                Err((StatusCode::BAD_REQUEST, "broken body\n"))
            }
        }
    }

    /// Hands a request to the driver: its time counts from here, if its last byte has come.
    fn submit(&self, message: Message, terms: Terms) -> Result<Ticket, Fault> {
        let class = terms.class;
        let submitted = self.driver.request(message, terms);
        submitted.inspect_err(|(status, _)| self.figures.settle(class, Ending::of(*status)))
    }

    /// Answers a request whose body is still coming: its time counts from the body's end.
    async fn answer_coming(
        &self,
        head: Parts,
        source: Rc<UploadSource>,
        terms: Terms,
        request: RequestLabel,
        mut upload: UploadWatch,
        client: &Rc<ClientConnection>,
    ) -> Answer {
        let wait = terms.wait;
        let message = message(head, Payload::Streamed(source.clone()), wait, client);
        let mut ticket = match self.submit(message, terms) {
            Ok(ticket) => ticket,
            Err((status, text)) => {
                upload.interrupt(UploadInterruption::AnsweredEarly);
                return last(status, text);
            }
        };
        let early = tokio::select! {
            reply = ticket.answer() => Some(reply),
            ended = source.wait_end() => {
                if let Err(why) = ended {
                    upload.interrupt(why);
                    return last(StatusCode::BAD_REQUEST, "broken body\n");
                }
                None
            }
        };
        let Some(reply) = early else {
            upload.complete();
            client.enter(Phase::Work);
            let taken = self.figures.take();
            self.driver.uploaded(&ticket, left_of(wait, client));
            return self.reply(ticket.answer().await, request, taken, client).await;
        };
        upload.interrupt(UploadInterruption::AnsweredEarly);
        self.read_on(source, ticket, wait, client);
        self.reply(reply, request, self.figures.take(), client).await
    }

    /// Reads the rest of a body whose request has its answer: an answer that is passed on has its time from the end.
    fn read_on(&self, source: Rc<UploadSource>, ticket: Ticket, wait: Micros, client: &Rc<ClientConnection>) {
        client.uploading.set(true);
        // Danger: who holds the connection keeps its socket open.
        let (driver, client) = (self.driver.clone(), Rc::downgrade(client));
        tokio::task::spawn_local(async move {
            source.drain().await;
            if let Some(client) = client.upgrade() {
                client.uploading.set(false);
            }
            driver.uploaded(&ticket, wait);
        });
    }

    /// The answer to a client for what came of its request.
    async fn reply(
        &self,
        reply: Reply,
        request: RequestLabel,
        taken: Taken,
        client: &Rc<ClientConnection>,
    ) -> Answer {
        match reply {
            Reply::Served(answer) => {
                let (head, body) = answer.into_parts();
                let body = match body {
                    Either::Left(body) => {
                        self.figures.settle(request.class, Ending::Passed);
                        Either::Left(body)
                    }
                    Either::Right(download) => {
                        let (client, figures) = (client.clone(), self.figures.clone());
                        Either::Right(StreamedAnswer::new(download, client, figures, request, taken))
                    }
                };
                Response::from_parts(head, body)
            }
            Reply::Refused { wait, tried, why } => {
                self.figures.reasons.refused(&request.id, Refused::Decided(why));
                self.figures.settle(request.class, Ending::Dropped);
                refused(wait, tried)
            }
            Reply::Failed => {
                self.figures.settle(request.class, Ending::Failed);
                plain(StatusCode::GATEWAY_TIMEOUT, "failed\n")
            }
            Reply::ClientClosed => {
                client.cut(super::CutReason::ClientClosed);
                std::future::pending().await
            }
        }
    }
}

/// What is left of a request's time, which counts from when its last byte came. Danger: that may be long before it is
/// read: in the listener's line, behind a process that was held up, on a core that others use.
fn left_of(wait: Micros, client: &ClientConnection) -> Micros {
    wait.saturating_sub(client.meter.since_last_data().as_micros() as Micros)
}

/// A refusal, with when to come again where that is known (in microseconds; 0: it is not).
fn refused(wait: Micros, tried: bool) -> Answer {
    let status = if tried { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::TOO_MANY_REQUESTS };
    let mut answer = plain(status, "refused\n");
    if wait > 0 {
        let seconds = format!("{:.3}", wait as f64 / 1e6);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            answer.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    answer
}
