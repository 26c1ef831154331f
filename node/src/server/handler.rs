//! One request: checked, handed to the driver, and answered.

use super::connection::{ClientConnection, Phase};
use super::transfer::{RequestLabel, StreamedAnswer, UploadMonitor};
use super::Server;
use crate::admission::{admit, Rejection, RequestMetadata};
use crate::backend::message::strip_hop_by_hop;
use crate::backend::{Message, Payload};
use crate::body::gather::{gather, Gathered};
use crate::body::interruption::UploadInterruption;
use crate::body::upload::UploadSource;
use crate::body::MAX_BUFFERED_BYTES;
use crate::driver::{PendingReply, Reply};
use crate::figures::{RequestInProgress, RequestOutcome};
use crate::reasons::RefusalCause;
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
    Whole { payload: Payload, in_progress: RequestInProgress },
    Partial(Rc<UploadSource>),
}

fn text_answer(status: StatusCode, text: &'static str) -> Answer {
    let mut answer = Response::new(Either::Left(Full::new(Bytes::from_static(text.as_bytes()))));
    *answer.status_mut() = status;
    answer
}

/// An answer after which nothing more is read.
fn closing_answer(status: StatusCode, text: &'static str) -> Answer {
    let mut answer = text_answer(status, text);
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}

/// What is passed on of a request: all but what concerns its connection alone.
fn build_message(head: Parts, body: Payload, wait: Micros, client: &ClientConnection) -> Message {
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
            client.enter_phase(Phase::ReceivingHead);
        }
        if request.uri().path() == "/healthz" {
            return self.health_check(request.method());
        }
        let (head, body) = request.into_parts();
        let (terms, length) = match admit(&head, self.driver.config()) {
            Ok(admitted) => admitted,
            // Where it is wrong in one thing, its end may be elsewhere than it says, too.
            Err((status, text)) => return closing_answer(status, text),
        };
        let chunked = head.headers.contains_key(TRANSFER_ENCODING);
        // Danger: what one reader takes for a body may hold a request for another, who goes by the length.
        if chunked && client.meter.names("content-length") != Some(false) {
            return closing_answer(StatusCode::BAD_REQUEST, "two lengths\n");
        }
        client.record_request(&terms.correlation_id);
        client.enter_body_phase();
        self.request_waiting.notify_one();
        let label = RequestLabel { class: terms.class, correlation_id: terms.correlation_id.clone() };
        let mut upload = UploadMonitor::new(client.clone(), self.metrics.clone(), label.clone());
        let received = match self.receive_body(&head, body, length, label.class, client, &mut upload).await {
            Ok(received) => received,
            Err((status, text)) => return closing_answer(status, text),
        };
        match received {
            Received::Whole { payload, in_progress: taken } => {
                let terms = RequestMetadata { time_limit: remaining_time(terms.time_limit, client), ..terms };
                let ticket = self.submit(build_message(head, payload, terms.time_limit, client), terms);
                match ticket {
                    Ok(mut ticket) => self.build_answer(ticket.wait().await, label, taken, client).await,
                    Err((status, text)) => closing_answer(status, text),
                }
            }
            Received::Partial(source) => {
                self.answer_while_uploading(head, source, terms, label, upload, client).await
            }
        }
    }

    fn health_check(&self, method: &Method) -> Answer {
        match (method == Method::GET, self.serving()) {
            (false, _) => closing_answer(StatusCode::METHOD_NOT_ALLOWED, "GET only\n"),
            (_, true) => text_answer(StatusCode::OK, "ready\n"),
            (_, false) => text_answer(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        }
    }

    /// Takes a body: a small one whole, else its beginning, with the rest to follow.
    async fn receive_body(
        &self,
        head: &Parts,
        body: Incoming,
        length: Option<u64>,
        class: ClassIndex,
        client: &Rc<ClientConnection>,
        upload: &mut UploadMonitor,
    ) -> Result<Received, Rejection> {
        let small = length.filter(|n| *n <= MAX_BUFFERED_BYTES as u64).and_then(|n| usize::try_from(n).ok());
        let reservation = self.body_budget.reserve(small.unwrap_or(MAX_BUFFERED_BYTES));
        if reservation.is_none() && small.is_some() {
            self.metrics.record_request(class, RequestOutcome::Dropped);
            let name = client.requests().1;
            self.metrics
                .reasons
                .record_refusal(name.as_deref().unwrap_or_default(), RefusalCause::BodiesFull);
            match body.is_end_stream() {
                true => upload.complete(),
                false => upload.interrupt(UploadInterruption::AnsweredEarly),
            }
            return Err((StatusCode::SERVICE_UNAVAILABLE, "too much in hand\n"));
        }
        let gathered = match &reservation {
            Some(_) => gather(body, None).await,
            None => Gathered::Part(Bytes::new(), body),
        };
        match (gathered, reservation) {
            (Gathered::Whole(body), Some(reservation)) => {
                upload.complete();
                if head.method == Method::GET && !body.is_empty() {
                    return Err((StatusCode::BAD_REQUEST, "GET takes no body\n"));
                }
                client.enter_phase(Phase::Processing);
                let payload = Payload::Whole { body, _reservation: reservation };
                Ok(Received::Whole { payload, in_progress: self.metrics.start_request() })
            }
            (Gathered::Part(..), _) if head.method == Method::GET => {
                upload.interrupt(UploadInterruption::AnsweredEarly);
                Err((StatusCode::BAD_REQUEST, "GET takes no body\n"))
            }
            (Gathered::Part(first, rest), reservation) => {
                let backpressure = client.backpressure.clone();
                Ok(Received::Partial(UploadSource::new(first, reservation, rest, length, backpressure)))
            }
            _ => {
                upload.interrupt(UploadInterruption::ClientBroke);
                Err((StatusCode::BAD_REQUEST, "broken body\n"))
            }
        }
    }

    /// Hands a request to the driver: its time counts from here, if its last byte has come.
    fn submit(&self, message: Message, terms: RequestMetadata) -> Result<PendingReply, Rejection> {
        let class = terms.class;
        let submitted = self.driver.submit(message, terms);
        submitted.inspect_err(|(status, _)| {
            self.metrics.record_request(class, RequestOutcome::from_status(*status))
        })
    }

    /// Answers a request whose body is still coming: its time counts from the body's end.
    async fn answer_while_uploading(
        &self,
        head: Parts,
        source: Rc<UploadSource>,
        terms: RequestMetadata,
        request: RequestLabel,
        mut upload: UploadMonitor,
        client: &Rc<ClientConnection>,
    ) -> Answer {
        let wait = terms.time_limit;
        let message = build_message(head, Payload::Coming(source.clone()), wait, client);
        let mut ticket = match self.submit(message, terms) {
            Ok(ticket) => ticket,
            Err((status, text)) => {
                upload.interrupt(UploadInterruption::AnsweredEarly);
                return closing_answer(status, text);
            }
        };
        let early = tokio::select! {
            reply = ticket.wait() => Some(reply),
            ended = source.ended() => {
                if let Err(why) = ended {
                    upload.interrupt(why);
                    return closing_answer(StatusCode::BAD_REQUEST, "broken body\n");
                }
                None
            }
        };
        let Some(reply) = early else {
            upload.complete();
            client.enter_phase(Phase::Processing);
            let taken = self.metrics.start_request();
            self.driver.body_received(&ticket, remaining_time(wait, client));
            return self.build_answer(ticket.wait().await, request, taken, client).await;
        };
        upload.interrupt(UploadInterruption::AnsweredEarly);
        self.drain_upload(source, ticket, wait, client);
        self.build_answer(reply, request, self.metrics.start_request(), client).await
    }

    /// Reads the rest of a body whose request has its answer: an answer that is passed on has its time from the end.
    fn drain_upload(
        &self,
        source: Rc<UploadSource>,
        ticket: PendingReply,
        wait: Micros,
        client: &Rc<ClientConnection>,
    ) {
        client.draining_upload.set(true);
        // Danger: who holds the connection keeps its socket open.
        let (driver, client) = (self.driver.clone(), Rc::downgrade(client));
        tokio::task::spawn_local(async move {
            source.drain().await;
            if let Some(client) = client.upgrade() {
                client.draining_upload.set(false);
            }
            driver.body_received(&ticket, wait);
        });
    }

    /// The answer to a client for what came of its request.
    async fn build_answer(
        &self,
        reply: Reply,
        request: RequestLabel,
        taken: RequestInProgress,
        client: &Rc<ClientConnection>,
    ) -> Answer {
        match reply {
            Reply::Served(answer) => {
                let (head, body) = answer.into_parts();
                let body = match body {
                    Either::Left(body) => {
                        self.metrics.record_request(request.class, RequestOutcome::Passed);
                        Either::Left(body)
                    }
                    Either::Right(download) => {
                        let (client, figures) = (client.clone(), self.metrics.clone());
                        Either::Right(StreamedAnswer::new(download, client, figures, request, taken))
                    }
                };
                Response::from_parts(head, body)
            }
            Reply::Refused { retry_after: wait, attempted: tried, reason: why } => {
                self.metrics.reasons.record_refusal(&request.correlation_id, RefusalCause::Decided(why));
                self.metrics.record_request(request.class, RequestOutcome::Dropped);
                refusal_answer(wait, tried)
            }
            Reply::Failed => {
                self.metrics.record_request(request.class, RequestOutcome::Failed);
                text_answer(StatusCode::GATEWAY_TIMEOUT, "failed\n")
            }
            Reply::ClientClosed => {
                client.abort(super::AbortReason::ClientClosed);
                std::future::pending().await
            }
        }
    }
}

/// What is left of a request's time, which counts from when its last byte came. Danger: that may be long before it is
/// read: in the listener's line, behind a process that was held up, on a core that others use.
fn remaining_time(wait: Micros, client: &ClientConnection) -> Micros {
    wait.saturating_sub(client.meter.since_last_data().as_micros() as Micros)
}

/// A refusal, with when to come again where that is known (in microseconds; 0: it is not).
fn refusal_answer(wait: Micros, tried: bool) -> Answer {
    let status = if tried { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::TOO_MANY_REQUESTS };
    let mut answer = text_answer(status, "refused\n");
    if wait > 0 {
        let seconds = format!("{:.3}", wait as f64 / 1e6);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            answer.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    answer
}
