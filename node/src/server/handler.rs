//! Handling of one request: validates it, passes it to the driver and answers it.

use super::connection::{ClientConnection, Phase};
use super::transfer::{record_answer_interruption, RequestLabel, StreamedAnswer, UploadMonitor};
use super::upload_watch::{UploadState, UploadWatch};
use super::Server;
use crate::admission::{admit, Rejection, RequestMetadata};
use crate::backend::message::strip_hop_by_hop;
use crate::backend::{Message, Payload};
use crate::body::answer_limit::LATE_GRACE;
use crate::body::download::Download;
use crate::body::gather::{gather, Gathered};
use crate::body::interruption::{AnswerInterruption, UploadInterruption};
use crate::body::scanner::BodyFraming;
use crate::body::upload::UploadSource;
use crate::body::MAX_BUFFERED_BYTES;
use crate::driver::{PendingReply, Reply};
use crate::figures::{RequestInProgress, RequestOutcome};
use crate::memory::budget::Reservation;
use crate::memory::gauge::Purpose;
use crate::memory::request_bytes;
use crate::reasons::RefusalCause;
use bytes::Bytes;
use caperwind::Micros;
use http_body_util::{Either, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode, Uri};
use std::cell::Cell;
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::time::Duration;

/// An answer to a client.
pub(super) type Answer = Response<Either<Full<Bytes>, StreamedAnswer>>;

/// A request in progress.
struct CurrentRequest {
    label: RequestLabel,
    /// The memory reserved for it.
    memory: Reservation,
}

/// A received request body.
enum Received {
    /// The whole body is in memory.
    Whole { payload: Payload, in_progress: RequestInProgress },
    /// The body is still being received.
    Partial(Rc<UploadSource>),
}

/// Returns an answer with a text as its body.
fn text_answer(status: StatusCode, text: &'static str) -> Answer {
    let mut answer = Response::new(Either::Left(Full::new(Bytes::from_static(text.as_bytes()))));
    *answer.status_mut() = status;
    answer
}

/// Returns an answer with a text as its body, after which the connection closes.
fn closing_answer(status: StatusCode, text: &'static str) -> Answer {
    let mut answer = text_answer(status, text);
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}

/// Returns how the end of a request's body is told.
fn body_framing(body: &Incoming) -> BodyFraming {
    body.size_hint().exact().map_or(BodyFraming::Chunked, BodyFraming::Length)
}

/// Builds the message to forward to a backend, without the hop-by-hop headers. `time_limit` is in microseconds.
fn build_message(head: Parts, body: Payload, time_limit: Micros, client: &ClientConnection) -> Message {
    let mut headers = head.headers;
    strip_hop_by_hop(&mut headers);
    // Backends expect a path, so a target in absolute form is reduced to its path and query.
    let target = head.uri.path_and_query().map_or_else(Uri::default, |p| Uri::from(p.clone()));
    Message {
        method: head.method,
        target,
        headers,
        body,
        client_wait: Duration::from_micros(time_limit),
        client: client.meter.clone(),
        answered: Cell::new(false),
    }
}

impl Server {
    /// Answers one request of a client.
    pub(super) async fn answer(&self, request: Request<Incoming>, client: &Rc<ClientConnection>) -> Answer {
        client.end_draining();
        if client.phase() == Phase::Idle {
            client.enter_phase(Phase::ReceivingHead);
        }
        let framing = body_framing(request.body());
        let chunked = framing == BodyFraming::Chunked;
        let two_lengths = chunked && client.meter.head_has_length() != Some(false);
        client.meter.begin_body(framing);
        if request.uri().path() == "/healthz" {
            return self.health_check(request.method());
        }
        let (head, body) = request.into_parts();
        let (metadata, length) = match admit(&head, self.driver.config()) {
            Ok(admitted) => admitted,
            // The end of an invalid request is uncertain, so the connection cannot be used further.
            Err((status, text)) => return closing_answer(status, text),
        };
        // Request smuggling: a backend that uses the length instead of the chunks could take a part of the body for
        // another request.
        if two_lengths {
            return closing_answer(StatusCode::BAD_REQUEST, "two lengths\n");
        }
        client.record_request(&metadata.correlation_id);
        client.enter_body_phase();
        self.request_waiting.notify_one();
        let label = RequestLabel { class: metadata.class, correlation_id: metadata.correlation_id.clone() };
        let mut upload = UploadMonitor::new(client.clone(), self.metrics.clone(), label.clone());
        let purpose = match client.meter.body_arrived(&self.budgets.bodies) {
            true => Purpose::Request,
            false => Purpose::Upload,
        };
        let Some(memory) = self.reserve_request(purpose, request_bytes(&head)).await else {
            let (status, text) =
                self.refuse_for_memory(&label, &body, &mut upload, RefusalCause::RequestsFull);
            return closing_answer(status, text);
        };
        let mut current = CurrentRequest { label, memory };
        let received = match self.receive_body(&head, body, length, &mut current, client, &mut upload).await {
            Ok(received) => received,
            Err((status, text)) => return closing_answer(status, text),
        };
        match received {
            Received::Whole { payload, in_progress } => {
                let metadata =
                    RequestMetadata { time_limit: remaining_time(metadata.time_limit, client), ..metadata };
                let pending =
                    self.submit(build_message(head, payload, metadata.time_limit, client), metadata);
                match pending {
                    Ok(mut pending) => {
                        self.build_answer(pending.wait().await, current, in_progress, client).await
                    }
                    Err((status, text)) => closing_answer(status, text),
                }
            }
            Received::Partial(source) => {
                self.answer_while_uploading(head, source, metadata, current, upload, client).await
            }
        }
    }

    /// Answers a health check: whether clients should use this address.
    fn health_check(&self, method: &Method) -> Answer {
        match (method == Method::GET, self.serving()) {
            (false, _) => closing_answer(StatusCode::METHOD_NOT_ALLOWED, "GET only\n"),
            (_, true) => text_answer(StatusCode::OK, "ready\n"),
            (_, false) => text_answer(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        }
    }

    /// Counts a request as refused for want of memory. Returns the answer to send.
    fn refuse_for_memory(
        &self,
        label: &RequestLabel,
        body: &Incoming,
        upload: &mut UploadMonitor,
        cause: RefusalCause,
    ) -> Rejection {
        self.metrics.record_request(label.class, RequestOutcome::Dropped);
        self.metrics.reasons.record_refusal(&label.correlation_id, cause);
        match body.is_end_stream() {
            true => upload.complete(),
            false => upload.interrupt(UploadInterruption::AnsweredEarly),
        }
        (StatusCode::SERVICE_UNAVAILABLE, "too much in hand\n")
    }

    /// Receives a small body completely, and the beginning of a larger one. `length` is the announced length in bytes,
    /// `None` for a chunked body. Returns the answer to send on failure.
    async fn receive_body(
        &self,
        head: &Parts,
        body: Incoming,
        length: Option<u64>,
        current: &mut CurrentRequest,
        client: &Rc<ClientConnection>,
        upload: &mut UploadMonitor,
    ) -> Result<Received, Rejection> {
        let small_length =
            length.filter(|n| *n <= MAX_BUFFERED_BYTES as u64).and_then(|n| usize::try_from(n).ok());
        let reservation = self.budgets.bodies.reserve(small_length.unwrap_or(MAX_BUFFERED_BYTES));
        if reservation.is_none() && small_length.is_some() {
            return Err(self.refuse_for_memory(&current.label, &body, upload, RefusalCause::BodiesFull));
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
                client.enter_phase(Phase::Processing);
                let payload = Payload::Whole { body, _reservation: reservation };
                Ok(Received::Whole { payload, in_progress: self.metrics.start_request() })
            }
            (Gathered::Partial(..), _) if head.method == Method::GET => {
                upload.interrupt(UploadInterruption::AnsweredEarly);
                Err((StatusCode::BAD_REQUEST, "GET takes no body\n"))
            }
            (Gathered::Partial(_, rest), _) if !self.extend_for_upload(&mut current.memory) => {
                Err(self.refuse_for_memory(&current.label, &rest, upload, RefusalCause::RequestsFull))
            }
            (Gathered::Partial(first, rest), reservation) => {
                let backpressure = client.backpressure.clone();
                Ok(Received::Partial(UploadSource::new(first, reservation, rest, length, backpressure)))
            }
            _ => {
                upload.interrupt(UploadInterruption::ClientBroke);
                Err((StatusCode::BAD_REQUEST, "broken body\n"))
            }
        }
    }

    /// Submits a request to the driver. If the body is complete, the time limit starts now.
    fn submit(&self, message: Message, metadata: RequestMetadata) -> Result<PendingReply, Rejection> {
        let class = metadata.class;
        let submitted = self.driver.submit(message, metadata);
        submitted.inspect_err(|(status, _)| {
            self.metrics.record_request(class, RequestOutcome::from_status(*status))
        })
    }

    /// Answers a request whose body is still being received. Its time limit starts at the end of the body.
    async fn answer_while_uploading(
        &self,
        head: Parts,
        source: Rc<UploadSource>,
        metadata: RequestMetadata,
        current: CurrentRequest,
        mut upload: UploadMonitor,
        client: &Rc<ClientConnection>,
    ) -> Answer {
        let time_limit = metadata.time_limit;
        let message = build_message(head, Payload::Streamed(source.clone()), time_limit, client);
        let mut pending = match self.submit(message, metadata) {
            Ok(pending) => pending,
            Err((status, text)) => {
                upload.interrupt(UploadInterruption::AnsweredEarly);
                return closing_answer(status, text);
            }
        };
        let mut watch = UploadWatch::new(client, source.clone(), self.budgets.bodies.clone(), time_limit);
        // Counted as in progress from when the whole request has arrived, or from an earlier answer on.
        let mut in_progress = None;
        let early_reply = loop {
            tokio::select! {
                reply = pending.wait() => break Some(reply),
                ended = source.wait_end() => {
                    if let Err(reason) = ended {
                        upload.interrupt(reason);
                        return closing_answer(StatusCode::BAD_REQUEST, "broken body\n");
                    }
                    break None;
                }
                state = watch.next(), if in_progress.is_none() => match state {
                    UploadState::Arrived => {
                        in_progress = Some(self.metrics.start_request());
                        self.driver.body_arrived(&pending, remaining_time(time_limit, client));
                    }
                    UploadState::Stalled => self.driver.upload_stalled(&pending),
                }
            }
        };
        let in_progress = in_progress.unwrap_or_else(|| self.metrics.start_request());
        let Some(reply) = early_reply else {
            upload.complete();
            client.enter_phase(Phase::Processing);
            self.driver.body_received(&pending, remaining_time(time_limit, client));
            return self.build_answer(pending.wait().await, current, in_progress, client).await;
        };
        upload.interrupt(UploadInterruption::AnsweredEarly);
        self.drain_upload(source, pending, time_limit, client);
        self.build_answer(reply, current, in_progress, client).await
    }

    /// Reads the rest of a body whose request has been answered early, in a task of its own. The time limit of an
    /// answer that is still being streamed starts at the end of the body.
    fn drain_upload(
        &self,
        source: Rc<UploadSource>,
        pending: PendingReply,
        time_limit: Micros,
        client: &Rc<ClientConnection>,
    ) {
        client.draining_upload.set(true);
        let mut watch = UploadWatch::new(client, source.clone(), self.budgets.bodies.clone(), time_limit);
        // A weak reference, as a strong one would keep the socket open after the connection has ended.
        let (driver, client) = (self.driver.clone(), Rc::downgrade(client));
        let time_left = move |client: &Weak<ClientConnection>| {
            client.upgrade().map_or(0, |c| remaining_time(time_limit, &c))
        };
        tokio::task::spawn_local(async move {
            let mut drained = pin!(source.drain());
            tokio::select! {
                () = &mut drained => {}
                state = watch.next() => {
                    let no_time_left = state == UploadState::Stalled;
                    driver.body_arrived(&pending, if no_time_left { 0 } else { time_left(&client) });
                    drained.await;
                }
            }
            if let Some(client) = client.upgrade() {
                client.end_draining();
            }
            driver.body_received(&pending, time_left(&client));
        });
    }

    /// How long after its request's deadline a buffered answer is waited for. An ending process has no such time.
    fn late_grace(&self) -> Duration {
        if self.driver.shutting_down() {
            Duration::ZERO
        } else {
            LATE_GRACE
        }
    }

    /// Counts, logs and answers a request as failed whose answer was interrupted before any of it was passed on.
    fn answer_interrupted(
        &self,
        request: &RequestLabel,
        download: &Download,
        reason: AnswerInterruption,
    ) -> Answer {
        record_answer_interruption(&self.metrics, request, &download.progress(), reason);
        self.metrics.record_request(request.class, RequestOutcome::Failed);
        closing_answer(StatusCode::GATEWAY_TIMEOUT, "failed\n")
    }

    /// Builds the answer to the client from the final result of its request, and counts the result. An answer that is
    /// streamed keeps the `memory` of its request.
    async fn build_answer(
        &self,
        reply: Reply,
        current: CurrentRequest,
        in_progress: RequestInProgress,
        client: &Rc<ClientConnection>,
    ) -> Answer {
        let CurrentRequest { label: request, memory } = current;
        match reply {
            Reply::Served(answer) => {
                let (head, body) = answer.into_parts();
                let body = match body {
                    Either::Left(body) => {
                        self.metrics.record_request(request.class, RequestOutcome::Passed);
                        Either::Left(body)
                    }
                    Either::Right(mut download) => {
                        if let Err(reason) = download.hold(self.late_grace()).await {
                            return self.answer_interrupted(&request, &download, reason);
                        }
                        let (client, metrics) = (client.clone(), self.metrics.clone());
                        Either::Right(StreamedAnswer::new(
                            download,
                            client,
                            metrics,
                            request,
                            in_progress,
                            memory,
                        ))
                    }
                };
                Response::from_parts(head, body)
            }
            Reply::Refused { retry_after, attempted, reason } => {
                self.metrics.reasons.record_refusal(&request.correlation_id, RefusalCause::Decided(reason));
                self.metrics.record_request(request.class, RequestOutcome::Dropped);
                refusal_answer(retry_after, attempted)
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

/// Returns what is left of a time limit (both in microseconds) that started when the last byte of the request
/// arrived. The request may be read much later: after it has waited in the listen queue, while the process was
/// paused, or while others used the core.
fn remaining_time(time_limit: Micros, client: &ClientConnection) -> Micros {
    time_limit.saturating_sub(client.meter.since_last_data().as_micros() as Micros)
}

/// Returns the answer to a refused request, with a `Retry-After` header unless `retry_after` (in microseconds) is 0.
fn refusal_answer(retry_after: Micros, attempted: bool) -> Answer {
    let status = if attempted { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::TOO_MANY_REQUESTS };
    let mut answer = text_answer(status, "refused\n");
    if retry_after > 0 {
        let seconds = format!("{:.3}", retry_after as f64 / 1e6);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            answer.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    answer
}
