//! The counter: numbers under names, which callers add to.

use super::door::Door;
use crate::http::{query_value, read_body, read_head};
use crate::link::LinkStream;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::time::sleep;

/// How the counter answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CounterMode {
    /// At once.
    Normal,
    /// So much later.
    Slow(Duration),
    /// Not at all.
    Silent,
}

#[derive(Default)]
struct Numbers(Mutex<HashMap<String, (f64, Instant)>>);

impl Numbers {
    /// Adds to a number and tells the total; a new name lives for so long.
    fn add(&self, name: &str, delta: f64, life: Duration) -> f64 {
        let mut numbers = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let number = numbers.entry(name.to_owned()).or_insert((0.0, now + life));
        if number.1 < now {
            *number = (0.0, now + life);
        }
        number.0 += delta;
        number.0
    }
}

/// The counter, at an address of its own for each gateway.
pub struct Counter {
    numbers: Arc<Numbers>,
    doors: Vec<Arc<Door>>,
    modes: Vec<watch::Sender<CounterMode>>,
}

impl Counter {
    /// A counter with no numbers, for the gateways at these addresses.
    pub async fn start(ips: &[IpAddr]) -> anyhow::Result<Self> {
        let numbers = Arc::new(Numbers::default());
        let (mut doors, mut modes) = (Vec::new(), Vec::new());
        for ip in ips {
            let mode = watch::channel(CounterMode::Normal).0;
            doors.push(Door::open(*ip, serving(&numbers, &mode)).await?);
            modes.push(mode);
        }
        Ok(Counter { numbers, doors, modes })
    }

    /// Where a gateway finds it.
    pub fn address(&self, gateway: usize) -> SocketAddr {
        self.doors[gateway].address()
    }

    /// Answers a gateway in this way from now on.
    pub fn set_mode(&self, gateway: usize, mode: CounterMode) {
        self.modes[gateway].send_replace(mode);
    }

    /// Refuses a gateway's connections, or takes them again.
    pub fn set_accepting(&self, gateway: usize, open: bool) {
        self.doors[gateway].set_open(open);
    }

    /// Moves to another address for a gateway.
    pub async fn relocate(&self, gateway: usize) -> anyhow::Result<SocketAddr> {
        self.doors[gateway].relocate(serving(&self.numbers, &self.modes[gateway])).await
    }
}

fn serving(
    numbers: &Arc<Numbers>,
    mode: &watch::Sender<CounterMode>,
) -> impl Fn(LinkStream) -> std::pin::Pin<Box<dyn std::future::Future<Output = ()> + Send>> + Clone {
    let (numbers, mode) = (numbers.clone(), mode.subscribe());
    move |stream| Box::pin(converse(stream, numbers.clone(), mode.clone()))
}

async fn converse(mut stream: LinkStream, numbers: Arc<Numbers>, mut mode: watch::Receiver<CounterMode>) {
    while let Ok(Some(head)) = read_head(&mut stream).await {
        if read_body(&mut stream, &head, false).await.is_err() {
            return;
        }
        let target = head.target().to_owned();
        let name = target.split('?').next().and_then(|path| path.strip_prefix("/v2/numbers/"));
        let delta = query_value(&target, "delta").and_then(|v| v.parse::<f64>().ok());
        let life = query_value(&target, "life_ms").and_then(|v| v.parse::<u64>().ok());
        let (Some(name), Some(delta), Some(life)) = (name, delta, life) else {
            let _ = stream.write_all(b"HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n").await;
            continue;
        };
        let now = *mode.borrow_and_update();
        match now {
            CounterMode::Normal => {}
            CounterMode::Slow(by) => sleep(by).await,
            CounterMode::Silent => drop(mode.wait_for(|mode| *mode != CounterMode::Silent).await),
        }
        let total = numbers.add(name, delta, Duration::from_millis(life)).to_string();
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{total}", total.len());
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}
