//! Tasks that last as long as the process, and what a process needs at its start.

use crate::guard::{Guard, Violation};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::{sleep, Instant};

/// The first pause before an address is tried again, and the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
const LONGEST_PAUSE: Duration = Duration::from_millis(200);
/// How often it is told that an address can't be had yet.
const TELL_INTERVAL: Duration = Duration::from_secs(1);
/// A task that has panicked begins anew after this.
const RESTART_PAUSE: Duration = Duration::from_millis(20);

/// Runs the tasks that have to last.
pub struct Supervisor {
    guard: Rc<Guard>,
}

impl Supervisor {
    /// A supervisor that counts panics there.
    pub fn new(guard: Rc<Guard>) -> Rc<Self> {
        Rc::new(Supervisor { guard })
    }

    /// Runs a task that must not end by a panic: it begins anew then. Without it, a process would go on that keeps no
    /// deadline, takes no connection or hears no list.
    pub fn run<F>(
        self: &Rc<Self>,
        name: &'static str,
        mut begin: impl FnMut() -> F + 'static,
    ) -> JoinHandle<()>
    where
        F: Future<Output = ()> + 'static,
    {
        let this = self.clone();
        tokio::task::spawn_local(async move {
            while let Err(e) = tokio::task::spawn_local(begin()).await {
                if !e.is_panic() {
                    return;
                }
                this.guard.record(Violation::TaskPanicked, &format!("{name} begins anew"));
                sleep(RESTART_PAUSE).await;
            }
        })
    }
}

/// Whether waiting can't help.
fn is_lasting(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::PermissionDenied | io::ErrorKind::InvalidInput)
}

/// Listens at an address, as soon as it can be had: the process before may still hold it, and this machine may be out
/// of something for a moment. An error after `limit`, or where waiting can't help.
pub async fn listen(what: &str, address: SocketAddr, limit: Duration) -> Result<TcpListener, String> {
    let began = Instant::now();
    let (mut pause, mut told) = (FIRST_PAUSE, None::<Instant>);
    loop {
        let e = match TcpListener::bind(address).await {
            Ok(listener) => return Ok(listener),
            Err(e) => e,
        };
        if is_lasting(&e) || began.elapsed() >= limit {
            return Err(format!("{what} {address}: {e}"));
        }
        if told.is_none_or(|at| at.elapsed() >= TELL_INTERVAL) {
            log::warn!("{what} {address}: {e}; tried again");
            told = Some(Instant::now());
        }
        sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}
