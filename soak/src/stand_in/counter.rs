//! The stand-in for the shared counter service: totals by name, which the gateways add to.

use super::door::DedicatedListener;
use crate::http::{query_value, read_body, read_head};
use crate::link::LinkStream;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::time::sleep;

/// How the counter answers a gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CounterMode {
    /// Without delay.
    Normal,
    /// After this delay.
    Slow(Duration),
    /// Not at all.
    Silent,
}

/// The total and the expiry time of each name.
#[derive(Default)]
struct Totals(Mutex<HashMap<String, (f64, Instant)>>);

impl Totals {
    /// Adds `delta` to a name's total and returns the new total. A new or expired name starts from 0 and expires after
    /// `lifetime`.
    fn add(&self, name: &str, delta: f64, lifetime: Duration) -> f64 {
        let mut totals = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let total = totals.entry(name.to_owned()).or_insert((0.0, now + lifetime));
        if total.1 < now {
            *total = (0.0, now + lifetime);
        }
        total.0 += delta;
        total.0
    }
}

/// The counter, which all gateways share, with an address of its own for each gateway.
pub struct Counter {
    totals: Arc<Totals>,
    listeners: Vec<Arc<DedicatedListener>>,
    modes: Vec<watch::Sender<CounterMode>>,
}

impl Counter {
    /// Starts a counter without totals for gateways at these addresses. Fails if no socket can be bound.
    pub async fn start(ips: &[IpAddr]) -> anyhow::Result<Self> {
        let totals = Arc::new(Totals::default());
        let (mut listeners, mut modes) = (Vec::new(), Vec::new());
        for ip in ips {
            let mode = watch::channel(CounterMode::Normal).0;
            listeners.push(DedicatedListener::bind(*ip, connection_handler(&totals, &mode)).await?);
            modes.push(mode);
        }
        Ok(Counter { totals, listeners, modes })
    }

    /// Returns the address at which a gateway reaches the counter.
    pub fn address(&self, gateway: usize) -> SocketAddr {
        self.listeners[gateway].address()
    }

    /// Sets how the counter answers a gateway.
    pub fn set_mode(&self, gateway: usize, mode: CounterMode) {
        self.modes[gateway].send_replace(mode);
    }

    /// Starts or stops accepting connections of a gateway. Stopping also resets the open ones.
    pub fn set_accepting(&self, gateway: usize, accepting: bool) {
        self.listeners[gateway].set_accepting(accepting);
    }

    /// Moves to another address for a gateway and returns that address. Fails if no socket can be bound.
    pub async fn relocate(&self, gateway: usize) -> anyhow::Result<SocketAddr> {
        self.listeners[gateway].relocate(connection_handler(&self.totals, &self.modes[gateway])).await
    }
}

/// Returns the function that serves each connection of one gateway.
fn connection_handler(
    totals: &Arc<Totals>,
    mode: &watch::Sender<CounterMode>,
) -> impl Fn(LinkStream) -> std::pin::Pin<Box<dyn std::future::Future<Output = ()> + Send>> + Clone {
    let (totals, mode) = (totals.clone(), mode.subscribe());
    move |stream| Box::pin(serve_connection(stream, totals.clone(), mode.clone()))
}

/// Answers calls on a connection until it ends. The delta is added after the delay, just before the answer.
async fn serve_connection(
    mut stream: LinkStream,
    totals: Arc<Totals>,
    mut mode: watch::Receiver<CounterMode>,
) {
    while let Ok(Some(head)) = read_head(&mut stream).await {
        if read_body(&mut stream, &head, false).await.is_err() {
            return;
        }
        let target = head.target().to_owned();
        let name = target.split('?').next().and_then(|path| path.strip_prefix("/v2/numbers/"));
        let delta = query_value(&target, "delta").and_then(|v| v.parse::<f64>().ok());
        let lifetime = query_value(&target, "life_ms").and_then(|v| v.parse::<u64>().ok());
        let (Some(name), Some(delta), Some(lifetime)) = (name, delta, lifetime) else {
            let _ = stream.write_all(b"HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n").await;
            continue;
        };
        let current = *mode.borrow_and_update();
        match current {
            CounterMode::Normal => {}
            CounterMode::Slow(delay) => sleep(delay).await,
            CounterMode::Silent => drop(mode.wait_for(|mode| *mode != CounterMode::Silent).await),
        }
        let total = totals.add(name, delta, Duration::from_millis(lifetime)).to_string();
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{total}", total.len());
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}
