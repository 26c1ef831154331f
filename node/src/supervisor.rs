//! Tasks that run for as long as the process does, and listening at an address that may not be free yet.

use crate::guard::{Guard, Violation};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::{sleep, Instant};

/// The delay before the first retry to listen at an address; it doubles with each retry.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(10);
/// The longest delay between two retries.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(200);
/// The interval of warnings that an address is not available yet.
const WARNING_INTERVAL: Duration = Duration::from_secs(1);
/// The delay before a task that has panicked is started again.
const RESTART_DELAY: Duration = Duration::from_millis(20);

/// Restarts long-lived tasks that panic.
pub struct Supervisor {
    guard: Rc<Guard>,
}

impl Supervisor {
    /// Creates a supervisor that counts panics in `guard`.
    pub fn new(guard: Rc<Guard>) -> Rc<Self> {
        Rc::new(Supervisor { guard })
    }

    /// Runs a task, and starts it again whenever it panics. Otherwise the process would go on without the task:
    /// it would enforce no deadlines, accept no connections or receive no lists of backends. The handle ends when
    /// the task has returned without a panic.
    pub fn run<F>(
        self: &Rc<Self>,
        name: &'static str,
        mut start_task: impl FnMut() -> F + 'static,
    ) -> JoinHandle<()>
    where
        F: Future<Output = ()> + 'static,
    {
        let supervisor = self.clone();
        tokio::task::spawn_local(async move {
            while let Err(e) = tokio::task::spawn_local(start_task()).await {
                if !e.is_panic() {
                    return;
                }
                supervisor.guard.record(Violation::TaskPanicked, &format!("restarting task {name}"));
                sleep(RESTART_DELAY).await;
            }
        })
    }
}

/// Returns whether a retry can't succeed.
fn is_permanent(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::PermissionDenied | io::ErrorKind::InvalidInput)
}

/// Listens at an address as soon as it is available: the previous process may still use it, or the system may be
/// short of a resource for a moment. Fails after `limit`, or if a retry can't succeed. `purpose` names the
/// address in messages.
pub async fn listen(purpose: &str, address: SocketAddr, limit: Duration) -> Result<TcpListener, String> {
    let began = Instant::now();
    let (mut delay, mut last_warned_at) = (FIRST_RETRY_DELAY, None::<Instant>);
    loop {
        let e = match TcpListener::bind(address).await {
            Ok(listener) => return Ok(listener),
            Err(e) => e,
        };
        if is_permanent(&e) || began.elapsed() >= limit {
            return Err(format!("{purpose} {address}: {e}"));
        }
        if last_warned_at.is_none_or(|at| at.elapsed() >= WARNING_INTERVAL) {
            log::warn!("{purpose} {address}: {e}; retrying");
            last_warned_at = Some(Instant::now());
        }
        sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}
