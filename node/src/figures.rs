//! What operators count: requests by how they ended, requests in work, bodies that ended too soon.

use crate::body::interruption::{AnswerInterruption, UploadInterruption};
use crate::logging::LimitedLog;
use crate::reasons::ReasonCounts;
use caperwind::{ClassIndex, Config};
use hyper::StatusCode;
use serde_json::{json, Map, Value};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// How a request ended; the place of its count.
#[derive(Clone, Copy)]
pub enum RequestOutcome {
    Passed,
    Dropped,
    Failed,
}

impl RequestOutcome {
    /// What a client takes an answer of this status for.
    pub fn from_status(status: StatusCode) -> Self {
        match status {
            StatusCode::OK => RequestOutcome::Passed,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => RequestOutcome::Dropped,
            _ => RequestOutcome::Failed,
        }
    }
}

/// Counts since this process began.
pub struct Metrics {
    class_names: Vec<String>,
    request_counts: RefCell<Vec<[u64; 3]>>,
    in_progress: Cell<u64>,
    answers_interrupted: [Cell<u64>; AnswerInterruption::ALL.len()],
    uploads_interrupted: [Cell<u64>; UploadInterruption::ALL.len()],
    interruption_log: LimitedLog,
    /// Why requests were refused and repeated, and connections closed.
    pub reasons: Rc<ReasonCounts>,
}

/// A request in work, for as long as this lives.
pub struct RequestInProgress(Rc<Metrics>);

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get().saturating_sub(1));
    }
}

impl Metrics {
    pub fn new(module: &Config) -> Rc<Self> {
        let classes: Vec<_> = module.classes.iter().map(|c| c.name.clone()).collect();
        let ended = RefCell::new(vec![[0; 3]; classes.len()]);
        Rc::new(Metrics {
            class_names: classes,
            request_counts: ended,
            in_progress: Cell::new(0),
            answers_interrupted: Default::default(),
            uploads_interrupted: Default::default(),
            interruption_log: LimitedLog::default(),
            reasons: Rc::default(),
        })
    }

    /// A class's name, as the settings give it.
    pub fn class_name(&self, class: ClassIndex) -> &str {
        self.class_names.get(usize::from(class.0)).map_or("unknown", String::as_str)
    }

    /// Counts an answer that ended too soon, with a line for the log.
    pub fn record_answer_interruption(&self, why: AnswerInterruption, line: &str) {
        increment(&self.answers_interrupted[why as usize]);
        self.interruption_log.line(line);
    }

    /// Counts a request's body that ended too soon, with a line for the log.
    pub fn record_upload_interruption(&self, why: UploadInterruption, line: &str) {
        increment(&self.uploads_interrupted[why as usize]);
        self.interruption_log.line(line);
    }

    /// A request has come whole.
    pub fn start_request(self: &Rc<Self>) -> RequestInProgress {
        self.in_progress.set(self.in_progress.get() + 1);
        RequestInProgress(self.clone())
    }

    /// Counts a request, once, where its final answer is settled.
    pub fn record_request(&self, class: ClassIndex, ending: RequestOutcome) {
        if let Some(counts) = self.request_counts.borrow_mut().get_mut(usize::from(class.0)) {
            counts[ending as usize] += 1;
        }
    }

    /// All figures, with what the driver tells: backends listed, of these skipped, and attempts written whole.
    pub fn report(&self, (known, skipped, tries): (usize, usize, u64)) -> Value {
        let ended = self.request_counts.borrow();
        let by_class = |ending: RequestOutcome| {
            let counts = self.class_names.iter().zip(ended.iter());
            counts.map(|(c, n)| (c.clone(), n[ending as usize].into())).collect::<Map<_, _>>()
        };
        let answers = AnswerInterruption::ALL.map(|why| why.name());
        let uploads = UploadInterruption::ALL.map(|why| why.name());
        json!({
            "passed": by_class(RequestOutcome::Passed),
            "dropped": by_class(RequestOutcome::Dropped),
            "bad_gateway": by_class(RequestOutcome::Failed),
            "upstream_tries": tries,
            "in_progress": self.in_progress.get(),
            "known_backends": known,
            "skipped_backends": skipped,
            "answers_interrupted": by_name(&answers, &self.answers_interrupted),
            "uploads_interrupted": by_name(&uploads, &self.uploads_interrupted),
            "refused_by_reason": self.reasons.refused_report(),
            "repeated_by_reason": self.reasons.repeated_report(),
            "closed_by_reason": self.reasons.closed_report(),
            "log_lines_lost": crate::logging::lines_lost(),
        })
    }
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

fn by_name(names: &[&str], counts: &[Cell<u64>]) -> Map<String, Value> {
    let pairs = names.iter().zip(counts);
    pairs.map(|(name, count)| ((*name).to_owned(), count.get().into())).collect()
}
