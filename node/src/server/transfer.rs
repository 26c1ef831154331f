//! Bodies in transfer: counts how each one ends, and logs those that are interrupted.

use super::connection::{ClientConnection, Phase};
use crate::body::download::{Download, Progress};
use crate::body::interruption::{AnswerInterruption, UploadInterruption};
use crate::figures::{Metrics, RequestInProgress, RequestOutcome};
use crate::memory::budget::Reservation;
use bytes::Bytes;
use caperwind::ClassIndex;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::time::Instant;

/// The request that a body belongs to.
#[derive(Clone)]
pub struct RequestLabel {
    /// The class of the request.
    pub class: ClassIndex,
    /// The value of its `X-Correlation-Id` header.
    pub correlation_id: Rc<str>,
}

/// Counts and logs the interruption of an answer.
pub(super) fn record_answer_interruption(
    metrics: &Metrics,
    request: &RequestLabel,
    progress: &Progress,
    reason: AnswerInterruption,
) {
    let line = format!(
        "answer interrupted: {reason}; request {:?} of class {}, backend {}: {} bytes in {} ms, the last {} ms ago",
        request.correlation_id,
        metrics.class_name(request.class),
        progress.backend,
        progress.received,
        progress.began.elapsed().as_millis(),
        progress.last_received.elapsed().as_millis(),
    );
    metrics.record_answer_interruption(reason, &line);
}

/// The body of an answer that is being streamed. Counts its request by how the answer ends, unless the client has
/// left.
pub struct StreamedAnswer {
    download: Download,
    client: Rc<ClientConnection>,
    metrics: Rc<Metrics>,
    request: RequestLabel,
    /// The request in progress; `None` once its outcome has been counted.
    in_progress: Option<RequestInProgress>,
    /// The memory reserved for the request.
    _memory: Reservation,
}

impl StreamedAnswer {
    /// Starts to stream an answer to a client.
    pub fn new(
        download: Download,
        client: Rc<ClientConnection>,
        metrics: Rc<Metrics>,
        request: RequestLabel,
        in_progress: RequestInProgress,
        memory: Reservation,
    ) -> Self {
        client.answer_progress.set(Some(download.progress()));
        StreamedAnswer { download, client, metrics, request, in_progress: Some(in_progress), _memory: memory }
    }

    /// Counts the request as passed.
    fn complete(&mut self) {
        if self.in_progress.take().is_some() {
            self.metrics.record_request(self.request.class, RequestOutcome::Passed);
        }
    }

    /// Counts and logs an interruption, unless the answer has ended already.
    fn interrupt(&mut self, reason: AnswerInterruption) {
        if self.in_progress.take().is_none() {
            return;
        }
        let client_left =
            matches!(reason, AnswerInterruption::ClientClosed | AnswerInterruption::ClientStopped);
        if !client_left {
            self.metrics.record_request(self.request.class, RequestOutcome::Failed);
        }
        record_answer_interruption(&self.metrics, &self.request, &self.download.progress(), reason);
    }
}

impl Body for StreamedAnswer {
    type Data = Bytes;
    type Error = AnswerInterruption;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerInterruption>>> {
        let next = Pin::new(&mut self.download).poll_frame(cx);
        self.client.answer_progress.set(Some(self.download.progress()));
        match &next {
            Poll::Ready(Some(Err(reason))) => self.interrupt(*reason),
            Poll::Ready(None) => self.complete(),
            Poll::Ready(_) if self.download.is_end_stream() => self.complete(),
            _ => {}
        }
        next
    }

    fn is_end_stream(&self) -> bool {
        self.download.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.download.size_hint()
    }
}

impl Drop for StreamedAnswer {
    fn drop(&mut self) {
        self.interrupt(self.client.abort_reason().answer_interruption());
        self.client.answer_progress.set(None);
        self.client.enter_phase(Phase::Idle);
    }
}

/// Watches a request body that is being received. If it is dropped before the end of the body is recorded, the body
/// was interrupted together with its connection.
pub struct UploadMonitor {
    client: Rc<ClientConnection>,
    metrics: Rc<Metrics>,
    request: RequestLabel,
    started_at: Instant,
    ended: bool,
}

impl UploadMonitor {
    /// Starts to watch the body of a request.
    pub fn new(client: Rc<ClientConnection>, metrics: Rc<Metrics>, request: RequestLabel) -> Self {
        UploadMonitor { client, metrics, request, started_at: Instant::now(), ended: false }
    }

    /// Records that the whole body has been received.
    pub fn complete(&mut self) {
        self.ended = true;
    }

    /// Counts and logs an interruption, unless the end of the body has been recorded already.
    pub fn interrupt(&mut self, reason: UploadInterruption) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let line = format!(
            "upload interrupted: {reason}; request {:?} of class {}: {} bytes read in {} ms",
            self.request.correlation_id,
            self.metrics.class_name(self.request.class),
            self.client.read_in_phase(),
            self.started_at.elapsed().as_millis(),
        );
        self.metrics.record_upload_interruption(reason, &line);
    }
}

impl Drop for UploadMonitor {
    fn drop(&mut self) {
        self.interrupt(self.client.abort_reason().upload_interruption());
    }
}
