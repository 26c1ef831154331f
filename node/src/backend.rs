//! The client side towards backends: connection pool, attempts, probes and load reports.

mod attempt;
pub mod load_report;
mod local_failure;
pub mod message;
pub mod pool;

pub use attempt::{AttemptLimits, ClientClosed, CompletedAttempt};
pub use message::{Message, Payload};
pub use pool::Pool;
