//! The stand-in for discovery: one registry of backends, and an agent of it for each gateway.

use super::door::DedicatedListener;
use crate::http::{query_value, read_body, read_head};
use crate::link::LinkStream;
use crate::trace::{BackendState, Event, Trace};
use serde_json::{json, Value};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// How an agent answers its gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiscoveryMode {
    /// As it should, without delay.
    Normal,
    /// Not at all.
    Silent,
    /// After this delay.
    Slow(Duration),
    /// Seven calls in ten are rejected with status 503.
    Overloaded,
    /// With full snapshots, which leave out the backends that drain.
    FullSnapshots,
}

/// One change of a backend's state.
#[derive(Clone, Copy)]
struct Change {
    /// The registry's index with this change; indices rise with each change.
    index: u64,
    backend: usize,
    state: BackendState,
    /// When the backend's process started, in milliseconds of Unix time; 0 if that is long ago.
    since_ms: u64,
}

/// The registry of backends: all changes of their states, in order.
pub struct Registry {
    trace: Arc<Trace>,
    changes: Mutex<Vec<Change>>,
    /// The index of the latest change.
    latest: watch::Sender<u64>,
    /// The address of each backend, by gateway.
    addresses: Vec<Vec<SocketAddr>>,
}

impl Registry {
    /// Creates a registry in which all backends serve and started long ago. `addresses` has a list for each gateway,
    /// with the address of each backend.
    pub fn new(trace: Arc<Trace>, addresses: Vec<Vec<SocketAddr>>) -> Arc<Self> {
        let backends = addresses.first().map_or(0, Vec::len);
        let serving = |backend| Change { index: 1, backend, state: BackendState::Serving, since_ms: 0 };
        let changes = Mutex::new((0..backends).map(serving).collect());
        Arc::new(Registry { trace, changes, latest: watch::channel(1).0, addresses })
    }

    /// Publishes a backend's new state. `since_ms` is the start of its process in milliseconds of Unix time, or 0 if
    /// that is long ago.
    pub fn publish(&self, backend: usize, state: BackendState, since_ms: u64) {
        let mut changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        let index = changes.last().map_or(1, |c| c.index) + 1;
        changes.push(Change { index, backend, state, since_ms });
        self.trace.record(Event::StatePublished { backend, state });
        drop(changes);
        self.latest.send_replace(index);
    }

    /// Returns when a backend's process started as last published, in milliseconds of Unix time; 0 if that is long ago.
    pub fn since_ms(&self, backend: usize) -> u64 {
        let changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        changes.iter().rev().find(|c| c.backend == backend).map_or(0, |c| c.since_ms)
    }

    /// Returns the latest change of each backend, without those up to index `after`.
    fn latest_changes(&self, after: u64) -> Vec<Change> {
        let changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        let latest_of = |backend| changes.iter().rev().find(|c| c.backend == backend).copied();
        let backends = self.addresses.first().map_or(0, Vec::len);
        (0..backends).filter_map(latest_of).filter(|c| c.index > after).collect()
    }

    /// Returns the endpoint for a backend in discovery's JSON, with the backend's address for this gateway.
    fn endpoint(&self, gateway: usize, change: &Change) -> Value {
        let status = match change.state {
            BackendState::Serving => "SERVING",
            BackendState::Draining => "DRAINING",
            BackendState::Deleted => "DELETED",
        };
        json!({"name": backend_name(change.backend), "address": self.addresses[gateway][change.backend], "zone": "a",
               "type": "k", "group": 0, "status": status, "weight": 1.0, "since_ms": change.since_ms})
    }

    /// Returns the list for a gateway in discovery's JSON, and the events that record what it tells. With `after` the
    /// list has the changes after that index; without, it is a snapshot. A snapshot leaves out deleted backends and,
    /// with `omit_draining`, those that drain; backends left out count as deleted for the gateway.
    fn endpoint_list(&self, gateway: usize, after: Option<u64>, omit_draining: bool) -> (Value, Vec<Event>) {
        let index = *self.latest.borrow();
        let changes = self.latest_changes(after.unwrap_or(0));
        let is_listed = |c: &&Change| match c.state {
            BackendState::Serving => true,
            BackendState::Draining => after.is_some() || !omit_draining,
            BackendState::Deleted => after.is_some(),
        };
        let endpoints: Vec<Value> =
            changes.iter().filter(is_listed).map(|c| self.endpoint(gateway, c)).collect();
        let deliveries = changes.iter().map(|c| {
            let state = if is_listed(&c) { c.state } else { BackendState::Deleted };
            Event::StateDelivered { gateway, backend: c.backend, state }
        });
        let deliveries = deliveries.collect();
        (json!({"index": index, "snapshot": after.is_none(), "endpoints": endpoints}), deliveries)
    }

    /// Returns the snapshot that a gateway is started with, in discovery's JSON.
    pub fn initial_list(&self, gateway: usize) -> Value {
        self.endpoint_list(gateway, None, false).0
    }
}

/// Returns the name of a backend in discovery and in operators' calls.
pub fn backend_name(backend: usize) -> String {
    format!("s-{backend:08x}")
}

/// Discovery's agents, one for each gateway.
pub struct Discovery {
    /// The registry that the agents' answers are taken from.
    pub registry: Arc<Registry>,
    listeners: Vec<Arc<DedicatedListener>>,
    modes: Vec<watch::Sender<DiscoveryMode>>,
}

impl Discovery {
    /// Starts agents for gateways at these addresses. Fails if no socket can be bound.
    pub async fn start(registry: Arc<Registry>, ips: &[IpAddr]) -> anyhow::Result<Self> {
        let (mut listeners, mut modes) = (Vec::new(), Vec::new());
        for (gateway, ip) in ips.iter().enumerate() {
            let mode = watch::channel(DiscoveryMode::Normal).0;
            listeners
                .push(DedicatedListener::bind(*ip, connection_handler(&registry, gateway, &mode)).await?);
            modes.push(mode);
        }
        Ok(Discovery { registry, listeners, modes })
    }

    /// Returns the address at which a gateway reaches its agent.
    pub fn address(&self, gateway: usize) -> SocketAddr {
        self.listeners[gateway].address()
    }

    /// Sets how a gateway's agent answers, and records whether it counts as available.
    pub fn set_mode(&self, gateway: usize, mode: DiscoveryMode) {
        self.modes[gateway].send_replace(mode);
        let available = matches!(mode, DiscoveryMode::Normal | DiscoveryMode::FullSnapshots);
        self.registry.trace.record(Event::DiscoveryAvailability { gateway, available });
    }

    /// Starts or stops accepting a gateway's connections, and records that. Stopping also resets the open ones.
    pub fn set_accepting(&self, gateway: usize, accepting: bool) {
        self.listeners[gateway].set_accepting(accepting);
        self.registry.trace.record(Event::DiscoveryAvailability { gateway, available: accepting });
    }

    /// Moves a gateway's agent to another address and returns that address. Fails if no socket can be bound.
    pub async fn relocate(&self, gateway: usize) -> anyhow::Result<SocketAddr> {
        self.listeners[gateway]
            .relocate(connection_handler(&self.registry, gateway, &self.modes[gateway]))
            .await
    }
}

/// Returns the function that serves each connection of one gateway.
fn connection_handler(
    registry: &Arc<Registry>,
    gateway: usize,
    mode: &watch::Sender<DiscoveryMode>,
) -> impl Fn(LinkStream) -> std::pin::Pin<Box<dyn std::future::Future<Output = ()> + Send>> + Clone {
    let (registry, mode) = (registry.clone(), mode.subscribe());
    move |stream| Box::pin(serve_connection(stream, registry.clone(), gateway, mode.clone()))
}

/// Answers calls on a connection until it ends. A call with an index and a wait is a watch: it is answered once there
/// are newer changes, or after the wait.
async fn serve_connection(
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
        let known_index = query_value(head.target(), "index").and_then(|v| v.parse::<u64>().ok());
        let wait_ms = query_value(head.target(), "wait").and_then(|v| v.parse::<u64>().ok());
        if let (Some(known_index), Some(wait_ms)) = (known_index, wait_ms) {
            let mut latest = registry.latest.subscribe();
            let newer_index = async { drop(latest.wait_for(|index| *index > known_index).await) };
            tokio::select! {
                _ = timeout(Duration::from_millis(wait_ms), newer_index) => {}
                // A watch is not answered once its agent has fallen silent: its connection is closed when the agent
                // answers again, and the gateway has to open a new one.
                _ = mode.wait_for(|mode| *mode == DiscoveryMode::Silent) => {}
            }
        }
        let current = *mode.borrow_and_update();
        match current {
            DiscoveryMode::Silent => {
                let _ = mode.wait_for(|mode| *mode != DiscoveryMode::Silent).await;
                return;
            }
            DiscoveryMode::Slow(delay) => sleep(delay).await,
            DiscoveryMode::Overloaded if random.f64() < 0.7 => {
                let rejection = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
                if stream.write_all(rejection).await.is_err() {
                    return;
                }
                continue;
            }
            _ => {}
        }
        let snapshot = current == DiscoveryMode::FullSnapshots;
        let (endpoint_list, deliveries) =
            registry.endpoint_list(gateway, known_index.filter(|_| !snapshot), snapshot);
        let text = endpoint_list.to_string();
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{text}",
            text.len()
        );
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
        deliveries.into_iter().for_each(|event| registry.trace.record(event));
    }
}
