//! Metrics for operators: finished requests by outcome, requests in progress, interrupted bodies.

use crate::body::interruption::{AnswerInterruption, UploadInterruption};
use crate::logging::LimitedLog;
use crate::reasons::ReasonCounts;
use caperwind::{ClassIndex, Config};
use hyper::StatusCode;
use serde_json::{json, Map, Value};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// How a request ended. The discriminant is the index of its count.
#[derive(Clone, Copy)]
pub enum RequestOutcome {
    /// It was answered by a backend.
    Passed,
    /// It was refused; repeating it is safe.
    Dropped,
    /// It was rejected as invalid, or it failed and a backend may have processed it.
    Failed,
}

impl RequestOutcome {
    /// Returns the outcome that a client infers from the status of an answer.
    pub fn from_status(status: StatusCode) -> Self {
        match status {
            StatusCode::OK => RequestOutcome::Passed,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => RequestOutcome::Dropped,
            _ => RequestOutcome::Failed,
        }
    }
}

/// Counts since this process started.
pub struct Metrics {
    /// The names of the classes, by index.
    class_names: Vec<String>,
    /// Finished requests by class and outcome.
    request_counts: RefCell<Vec<[u64; 3]>>,
    /// Requests that have been received completely, or answered before that, and whose answer is not ready or is still
    /// being streamed.
    in_progress: Cell<u64>,
    answers_interrupted: [Cell<u64>; AnswerInterruption::ALL.len()],
    uploads_interrupted: [Cell<u64>; UploadInterruption::ALL.len()],
    interruption_log: LimitedLog,
    /// The counts of refusals, repeats and closed connections by reason.
    pub reasons: Rc<ReasonCounts>,
}

/// Counts a request as in progress until it is dropped.
pub struct RequestInProgress(Rc<Metrics>);

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get().saturating_sub(1));
    }
}

impl Metrics {
    /// Creates metrics for the classes of a configuration, with all counts at zero.
    pub fn new(config: &Config) -> Rc<Self> {
        let class_names: Vec<_> = config.classes.iter().map(|c| c.name.clone()).collect();
        let request_counts = RefCell::new(vec![[0; 3]; class_names.len()]);
        Rc::new(Metrics {
            class_names,
            request_counts,
            in_progress: Cell::new(0),
            answers_interrupted: Default::default(),
            uploads_interrupted: Default::default(),
            interruption_log: LimitedLog::default(),
            reasons: Rc::default(),
        })
    }

    /// The name of a class in the settings.
    pub fn class_name(&self, class: ClassIndex) -> &str {
        self.class_names.get(usize::from(class.0)).map_or("unknown", String::as_str)
    }

    /// Counts an answer that was interrupted, and writes `line` to the log.
    pub fn record_answer_interruption(&self, reason: AnswerInterruption, line: &str) {
        increment(&self.answers_interrupted[reason as usize]);
        self.interruption_log.line(line);
    }

    /// Counts an upload that was interrupted, and writes `line` to the log.
    pub fn record_upload_interruption(&self, reason: UploadInterruption, line: &str) {
        increment(&self.uploads_interrupted[reason as usize]);
        self.interruption_log.line(line);
    }

    /// Counts a request as in progress until the returned value is dropped.
    pub fn start_request(self: &Rc<Self>) -> RequestInProgress {
        self.in_progress.set(self.in_progress.get() + 1);
        RequestInProgress(self.clone())
    }

    /// Counts a finished request. To be called once for each, when its outcome is certain.
    pub fn record_request(&self, class: ClassIndex, outcome: RequestOutcome) {
        if let Some(counts) = self.request_counts.borrow_mut().get_mut(usize::from(class.0)) {
            counts[outcome as usize] += 1;
        }
    }

    /// Returns all metrics as JSON. The tuple holds the number of listed backends, how many of them get no new
    /// requests, and the number of attempts written whole.
    pub fn report(&self, (known_backends, skipped_backends, upstream_tries): (usize, usize, u64)) -> Value {
        let request_counts = self.request_counts.borrow();
        let by_class = |outcome: RequestOutcome| {
            let pairs = self.class_names.iter().zip(request_counts.iter());
            pairs.map(|(name, counts)| (name.clone(), counts[outcome as usize].into())).collect::<Map<_, _>>()
        };
        let answer_reasons = AnswerInterruption::ALL.map(|reason| reason.name());
        let upload_reasons = UploadInterruption::ALL.map(|reason| reason.name());
        json!({
            "passed": by_class(RequestOutcome::Passed),
            "dropped": by_class(RequestOutcome::Dropped),
            "bad_gateway": by_class(RequestOutcome::Failed),
            "upstream_tries": upstream_tries,
            "in_progress": self.in_progress.get(),
            "known_backends": known_backends,
            "skipped_backends": skipped_backends,
            "answers_interrupted": by_name(&answer_reasons, &self.answers_interrupted),
            "uploads_interrupted": by_name(&upload_reasons, &self.uploads_interrupted),
            "refused_by_reason": self.reasons.refused_report(),
            "repeated_by_reason": self.reasons.repeated_report(),
            "closed_by_reason": self.reasons.closed_report(),
            "log_lines_lost": crate::logging::lines_lost(),
        })
    }
}

/// Adds one to a count.
fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

/// Returns counts as a map from their names.
fn by_name(names: &[&str], counts: &[Cell<u64>]) -> Map<String, Value> {
    let pairs = names.iter().zip(counts);
    pairs.map(|(name, count)| ((*name).to_owned(), count.get().into())).collect()
}
