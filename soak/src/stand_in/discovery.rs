//! Discovery: one registry, and an agent of it for each gateway.

use super::door::Door;
use crate::http::{query_value, read_body, read_head};
use crate::link::LinkStream;
use crate::trace::{BackendState, Event, Trace};
use serde_json::{json, Value};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// How an agent answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiscoveryMode {
    /// As it should.
    Normal,
    /// Not at all.
    Silent,
    /// So much later.
    Slow(Duration),
    /// Seven calls in ten are turned away.
    Overloaded,
    /// With whole lists, which leave out what drains.
    FullSnapshots,
}

#[derive(Clone, Copy)]
struct Change {
    index: u64,
    backend: usize,
    state: BackendState,
    since_ms: u64,
}

/// What is known of the backends.
pub struct Registry {
    trace: Arc<Trace>,
    changes: Mutex<Vec<Change>>,
    latest: watch::Sender<u64>,
    /// The address of each backend for each gateway.
    addresses: Vec<Vec<SocketAddr>>,
}

impl Registry {
    /// A registry in which all backends serve and have done so for long.
    pub fn new(trace: Arc<Trace>, addresses: Vec<Vec<SocketAddr>>) -> Arc<Self> {
        let backends = addresses.first().map_or(0, Vec::len);
        let serving = |backend| Change { index: 1, backend, state: BackendState::Serving, since_ms: 0 };
        let changes = Mutex::new((0..backends).map(serving).collect());
        Arc::new(Registry { trace, changes, latest: watch::channel(1).0, addresses })
    }

    /// Takes in what has become of a backend; its start is in milliseconds of Unix time, 0 where that is long ago.
    pub fn publish(&self, backend: usize, state: BackendState, since_ms: u64) {
        let mut changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        let index = changes.last().map_or(1, |c| c.index) + 1;
        changes.push(Change { index, backend, state, since_ms });
        self.trace.record(Event::StatePublished { backend, state });
        drop(changes);
        self.latest.send_replace(index);
    }

    /// When a backend's process started, as was told last.
    pub fn since_ms(&self, backend: usize) -> u64 {
        let changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        changes.iter().rev().find(|c| c.backend == backend).map_or(0, |c| c.since_ms)
    }

    fn last_changes(&self, after: u64) -> Vec<Change> {
        let changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        let last = |backend| changes.iter().rev().find(|c| c.backend == backend).copied();
        let backends = self.addresses.first().map_or(0, Vec::len);
        (0..backends).filter_map(last).filter(|c| c.index > after).collect()
    }

    fn entry(&self, gateway: usize, change: &Change) -> Value {
        let status = match change.state {
            BackendState::Serving => "SERVING",
            BackendState::Draining => "DRAINING",
            BackendState::Deleted => "DELETED",
        };
        json!({"name": backend_name(change.backend), "address": self.addresses[gateway][change.backend], "zone": "a",
               "type": "k", "group": 0, "status": status, "weight": 1.0, "since_ms": change.since_ms})
    }

    /// A list for a gateway, and what it tells. A whole one names nobody that is gone.
    fn list(&self, gateway: usize, after: Option<u64>, without_drains: bool) -> (Value, Vec<Event>) {
        let index = *self.latest.borrow();
        let changes = self.last_changes(after.unwrap_or(0));
        let named = |c: &&Change| match c.state {
            BackendState::Serving => true,
            BackendState::Draining => after.is_some() || !without_drains,
            BackendState::Deleted => after.is_some(),
        };
        let entries: Vec<Value> = changes.iter().filter(named).map(|c| self.entry(gateway, c)).collect();
        let told = changes.iter().map(|c| {
            let state = if named(&c) { c.state } else { BackendState::Deleted };
            Event::StateDelivered { gateway, backend: c.backend, state }
        });
        let told = told.collect();
        (json!({"index": index, "snapshot": after.is_none(), "endpoints": entries}), told)
    }

    /// The list that a gateway is started with.
    pub fn initial_list(&self, gateway: usize) -> Value {
        self.list(gateway, None, false).0
    }
}

/// The name by which discovery and operators know a backend.
pub fn backend_name(backend: usize) -> String {
    format!("s-{backend:08x}")
}

/// The agents of all gateways.
pub struct Discovery {
    /// What they tell.
    pub registry: Arc<Registry>,
    doors: Vec<Arc<Door>>,
    modes: Vec<watch::Sender<DiscoveryMode>>,
}

impl Discovery {
    /// Agents for the gateways at these addresses.
    pub async fn start(registry: Arc<Registry>, ips: &[IpAddr]) -> anyhow::Result<Self> {
        let (mut doors, mut modes) = (Vec::new(), Vec::new());
        for (gateway, ip) in ips.iter().enumerate() {
            let mode = watch::channel(DiscoveryMode::Normal).0;
            doors.push(Door::open(*ip, serving(&registry, gateway, &mode)).await?);
            modes.push(mode);
        }
        Ok(Discovery { registry, doors, modes })
    }

    /// Where a gateway finds its agent.
    pub fn address(&self, gateway: usize) -> SocketAddr {
        self.doors[gateway].address()
    }

    /// Answers a gateway in this way from now on.
    pub fn set_mode(&self, gateway: usize, mode: DiscoveryMode) {
        self.modes[gateway].send_replace(mode);
        let well = matches!(mode, DiscoveryMode::Normal | DiscoveryMode::FullSnapshots);
        self.registry.trace.record(Event::DiscoveryAvailability { gateway, available: well });
    }

    /// Refuses a gateway's connections, or takes them again.
    pub fn set_accepting(&self, gateway: usize, open: bool) {
        self.doors[gateway].set_open(open);
        self.registry.trace.record(Event::DiscoveryAvailability { gateway, available: open });
    }

    /// Moves to another address for a gateway.
    pub async fn relocate(&self, gateway: usize) -> anyhow::Result<SocketAddr> {
        self.doors[gateway].relocate(serving(&self.registry, gateway, &self.modes[gateway])).await
    }
}

fn serving(
    registry: &Arc<Registry>,
    gateway: usize,
    mode: &watch::Sender<DiscoveryMode>,
) -> impl Fn(LinkStream) -> std::pin::Pin<Box<dyn std::future::Future<Output = ()> + Send>> + Clone {
    let (registry, mode) = (registry.clone(), mode.subscribe());
    move |stream| Box::pin(converse(stream, registry.clone(), gateway, mode.clone()))
}

async fn converse(
    mut stream: LinkStream,
    registry: Arc<Registry>,
    gateway: usize,
    mut mode: watch::Receiver<DiscoveryMode>,
) {
    let mut random = fastrand::Rng::new();
    while let Ok(Some(head)) = read_head(&mut stream).await {
        if read_body(&mut stream, &head, false).await.is_err() {
            return;
        }
        let held = query_value(head.target(), "index").and_then(|v| v.parse::<u64>().ok());
        let wait = query_value(head.target(), "wait").and_then(|v| v.parse::<u64>().ok());
        if let (Some(held), Some(wait)) = (held, wait) {
            let mut latest = registry.latest.subscribe();
            let news = async { drop(latest.wait_for(|index| *index > held).await) };
            tokio::select! {
                _ = timeout(Duration::from_millis(wait), news) => {}
                // A watch that falls silent has to be opened anew.
                _ = mode.wait_for(|mode| *mode == DiscoveryMode::Silent) => {}
            }
        }
        let now = *mode.borrow_and_update();
        match now {
            DiscoveryMode::Silent => {
                let _ = mode.wait_for(|mode| *mode != DiscoveryMode::Silent).await;
                return;
            }
            DiscoveryMode::Slow(by) => sleep(by).await,
            DiscoveryMode::Overloaded if random.f64() < 0.7 => {
                let away = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
                if stream.write_all(away).await.is_err() {
                    return;
                }
                continue;
            }
            _ => {}
        }
        let whole = now == DiscoveryMode::FullSnapshots;
        let (list, told) = registry.list(gateway, held.filter(|_| !whole), whole);
        let text = list.to_string();
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{text}",
            text.len()
        );
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
        told.into_iter().for_each(|event| registry.trace.record(event));
    }
}
