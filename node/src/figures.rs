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
pub enum Ending {
    Passed,
    Dropped,
    Failed,
}

impl Ending {
    /// What a client takes an answer of this status for.
    pub fn of(status: StatusCode) -> Self {
        match status {
            StatusCode::OK => Ending::Passed,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Ending::Dropped,
            _ => Ending::Failed,
        }
    }
}

/// Counts since this process began.
pub struct Metrics {
    classes: Vec<String>,
    ended: RefCell<Vec<[u64; 3]>>,
    in_progress: Cell<u64>,
    answers_interrupted: [Cell<u64>; AnswerInterruption::ALL.len()],
    uploads_interrupted: [Cell<u64>; UploadInterruption::ALL.len()],
    interruptions: LimitedLog,
    /// Why requests were refused and repeated, and connections closed.
    pub reasons: Rc<ReasonCounts>,
}

/// A request in work, for as long as this lives.
pub struct Taken(Rc<Metrics>);

impl Drop for Taken {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get().saturating_sub(1));
    }
}

impl Metrics {
    pub fn new(module: &Config) -> Rc<Self> {
        let classes: Vec<_> = module.classes.iter().map(|c| c.name.clone()).collect();
        let ended = RefCell::new(vec![[0; 3]; classes.len()]);
        Rc::new(Metrics {
            classes,
            ended,
            in_progress: Cell::new(0),
            answers_interrupted: Default::default(),
            uploads_interrupted: Default::default(),
            interruptions: LimitedLog::default(),
            reasons: Rc::default(),
        })
    }

    /// A class's name, as the settings give it.
    pub fn class_name(&self, class: ClassIndex) -> &str {
        self.classes.get(usize::from(class.0)).map_or("unknown", String::as_str)
    }

    /// Counts an answer that ended too soon, with a line for the log.
    pub fn answer_interrupted(&self, why: AnswerInterruption, line: &str) {
        increment(&self.answers_interrupted[why as usize]);
        self.interruptions.line(line);
    }

    /// Counts a request's body that ended too soon, with a line for the log.
    pub fn upload_interrupted(&self, why: UploadInterruption, line: &str) {
        increment(&self.uploads_interrupted[why as usize]);
        self.interruptions.line(line);
    }

    /// A request has come whole.
    pub fn take(self: &Rc<Self>) -> Taken {
        self.in_progress.set(self.in_progress.get() + 1);
        Taken(self.clone())
    }

    /// Counts a request, once, where its final answer is settled.
    pub fn settle(&self, class: ClassIndex, ending: Ending) {
        if let Some(counts) = self.ended.borrow_mut().get_mut(usize::from(class.0)) {
            counts[ending as usize] += 1;
        }
    }

    /// All figures, with what the driver tells: backends listed, of these skipped, and attempts written whole.
    pub fn report(&self, (known, skipped, tries): (usize, usize, u64)) -> Value {
        let ended = self.ended.borrow();
        let by_class = |ending: Ending| {
            let counts = self.classes.iter().zip(ended.iter());
            counts.map(|(c, n)| (c.clone(), n[ending as usize].into())).collect::<Map<_, _>>()
        };
        let answers = AnswerInterruption::ALL.map(|why| why.name());
        let uploads = UploadInterruption::ALL.map(|why| why.name());
        json!({
            "passed": by_class(Ending::Passed),
            "dropped": by_class(Ending::Dropped),
            "bad_gateway": by_class(Ending::Failed),
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
