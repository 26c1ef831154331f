//! Bodies on their way through: how each one ends is counted, and told in the log where it ends too soon.

use super::connection::{ClientConnection, Phase};
use crate::body::download::Download;
use crate::body::interruption::{AnswerInterruption, UploadInterruption};
use crate::figures::{Ending, Metrics, Taken};
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
    /// Its class.
    pub class: ClassIndex,
    /// The client's name for it.
    pub id: Rc<str>,
}

/// An answer on its way, counted by how it ends; one whose client has left is not.
pub struct StreamedAnswer {
    download: Download,
    client: Rc<ClientConnection>,
    figures: Rc<Metrics>,
    request: RequestLabel,
    began: Instant,
    /// The request in work, until its end is settled.
    taken: Option<Taken>,
}

impl StreamedAnswer {
    /// Passes on an answer to a client.
    pub fn new(
        download: Download,
        client: Rc<ClientConnection>,
        figures: Rc<Metrics>,
        request: RequestLabel,
        taken: Taken,
    ) -> Self {
        client.progress.set(Some(download.progress()));
        StreamedAnswer { download, client, figures, request, began: Instant::now(), taken: Some(taken) }
    }

    fn complete(&mut self) {
        if self.taken.take().is_some() {
            self.figures.settle(self.request.class, Ending::Passed);
        }
    }

    fn interrupt(&mut self, why: AnswerInterruption) {
        if self.taken.take().is_none() {
            return;
        }
        let client_left = matches!(why, AnswerInterruption::ClientClosed | AnswerInterruption::ClientStopped);
        if !client_left {
            self.figures.settle(self.request.class, Ending::Failed);
        }
        let progress = self.download.progress();
        let line = format!(
            "answer interrupted: {why}; request {:?} of class {}, backend {}: {} bytes in {} ms, the last {} ms ago",
            self.request.id,
            self.figures.class_name(self.request.class),
            progress.backend,
            progress.received,
            self.began.elapsed().as_millis(),
            progress.last_received.elapsed().as_millis(),
        );
        self.figures.answer_interrupted(why, &line);
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
        self.client.progress.set(Some(self.download.progress()));
        match &next {
            Poll::Ready(Some(Err(why))) => self.interrupt(*why),
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
        self.interrupt(self.client.cut_reason().of_answer());
        self.client.progress.set(None);
        self.client.enter(Phase::Idle);
    }
}

/// A request's body that is coming; dropped before its end is told, it was interrupted with its connection.
pub struct UploadWatch {
    client: Rc<ClientConnection>,
    figures: Rc<Metrics>,
    request: RequestLabel,
    began: Instant,
    ended: bool,
}

impl UploadWatch {
    /// Watches the body of a request that has begun to come.
    pub fn new(client: Rc<ClientConnection>, figures: Rc<Metrics>, request: RequestLabel) -> Self {
        UploadWatch { client, figures, request, began: Instant::now(), ended: false }
    }

    /// All of it has come.
    pub fn complete(&mut self) {
        self.ended = true;
    }

    /// It ends before it is whole.
    pub fn interrupt(&mut self, why: UploadInterruption) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let line = format!(
            "upload interrupted: {why}; request {:?} of class {}: {} bytes read in {} ms",
            self.request.id,
            self.figures.class_name(self.request.class),
            self.client.read_in_phase(),
            self.began.elapsed().as_millis(),
        );
        self.figures.upload_interrupted(why, &line);
    }
}

impl Drop for UploadWatch {
    fn drop(&mut self) {
        self.interrupt(self.client.cut_reason().of_upload());
    }
}
