//! A gateway's place on the platform: its address, its folder and the processes that serve there.

use crate::client::{Admission, Clients};
use crate::process::{Launch, Places, Process};
use crate::shim::ShimControl;
use crate::stand_in::counter::Counter;
use crate::stand_in::discovery::Discovery;
use crate::trace::GatewayIndex;
use crate::world::World;
use nix::sys::signal::Signal;
use serde_json::{json, Value};
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::sleep;

/// Where clients connect.
const CLIENT_PORT: u16 = 8081;
/// Operators' ports begin here, one for each process.
const FIRST_OPS_PORT: u16 = 9001;
/// After SIGTERM new connections go on coming for so long.
const FRONT_NOTICES: Duration = Duration::from_millis(250);
/// SIGKILL comes so long after the longest deadline, counted as this at most.
const KILL_AFTER: Duration = Duration::from_millis(700);
const LONGEST: Duration = Duration::from_secs(3);

/// One gateway.
pub struct GatewayHost {
    /// Its place in the fleet.
    pub index: GatewayIndex,
    /// Where clients connect.
    pub address: SocketAddr,
    ip: IpAddr,
    /// The clients' socket, where the platform holds it.
    listener: Option<TcpListener>,
    folder: PathBuf,
    config: PathBuf,
    settings: Value,
    limits: Value,
    seed: u64,
    next_ops_port: AtomicU16,
    /// Held by whoever starts and ends its processes.
    pub lifecycle: tokio::sync::Mutex<()>,
    /// All processes so far, the oldest first.
    processes: Mutex<Vec<Arc<Process>>>,
}

impl GatewayHost {
    /// A place with no process yet.
    pub fn new(
        index: GatewayIndex,
        ip: IpAddr,
        platform: bool,
        places: &Places,
        settings: Value,
        limits: Value,
        seed: u64,
    ) -> anyhow::Result<Self> {
        let address = SocketAddr::new(ip, CLIENT_PORT);
        let listener = if platform { Some(TcpListener::bind(address)?) } else { None };
        let folder = places.folder.join(format!("g{index}"));
        std::fs::create_dir_all(&folder)?;
        Ok(GatewayHost {
            index,
            address,
            ip,
            listener,
            config: folder.join("config.json"),
            folder,
            settings,
            limits,
            seed,
            next_ops_port: AtomicU16::new(FIRST_OPS_PORT),
            lifecycle: tokio::sync::Mutex::default(),
            processes: Mutex::default(),
        })
    }

    /// Whether the platform holds its socket, so that one process can take over from another.
    pub fn on_platform(&self) -> bool {
        self.listener.is_some()
    }

    fn write_config(&self, discovery: &Discovery, counter: &Counter) -> anyhow::Result<()> {
        let config = json!({
            "name": format!("n{}", self.index), "listen": self.address,
            "discovery": discovery.address(self.index), "counter": counter.address(self.index),
            "seed": format!("{:016x}", self.seed.wrapping_add(self.index as u64 * 7919)),
            "limits": self.limits, "known": discovery.registry.initial_list(self.index), "settings": self.settings,
        });
        Ok(std::fs::write(&self.config, config.to_string())?)
    }

    /// Starts a process.
    pub fn start(&self, world: &World, prepare: impl FnOnce(&ShimControl)) -> anyhow::Result<Arc<Process>> {
        self.write_config(&world.discovery, &world.counter)?;
        let port = self.next_ops_port.fetch_add(1, Ordering::Relaxed);
        let launch = Launch {
            gateway: self.index,
            listen: self.address,
            inherited: self.listener.as_ref(),
            ops: SocketAddr::new(self.ip, port),
            discovery: world.discovery.address(self.index),
            config: &self.config,
            folder: &self.folder,
        };
        let process = Process::start(&world.places, &launch, world.trace.clone(), prepare)?;
        self.lock().push(process.clone());
        Ok(process)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Arc<Process>>> {
        self.processes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The processes that run, the oldest first.
    pub fn running(&self) -> Vec<Arc<Process>> {
        self.lock().iter().filter(|process| !process.has_exited()).cloned().collect()
    }

    /// The process that operators call.
    pub fn current(&self) -> Option<Arc<Process>> {
        self.running().first().cloned()
    }

    /// All that its processes have logged.
    pub fn logs(&self) -> Vec<String> {
        self.lock().iter().flat_map(|process| process.log.lines()).collect()
    }

    /// How long after SIGTERM a process is killed.
    fn kill_after(world: &World) -> Duration {
        let longest = world.scenario.settings.deadlines_ms.iter().max().copied().unwrap_or(0);
        Duration::from_millis(longest).min(LONGEST) + KILL_AFTER
    }

    /// Ends a process as planned.
    pub async fn end(&self, world: &World, process: &Process) {
        process.terminate();
        process.exit_within(Self::kill_after(world)).await;
        process.kill();
        process.exit_within(Duration::from_secs(5)).await;
    }

    /// A planned restart.
    pub async fn restart(&self, world: &World) -> anyhow::Result<()> {
        let _held = self.lifecycle.lock().await;
        let Some(process) = self.current() else { return Ok(()) };
        let clients = world.clients.clone();
        tokio::spawn(close_gate(clients, self.index));
        self.end(world, &process).await;
        self.come_back(world, |_| {}).await
    }

    /// Starts a process behind one that is gone, and lets the clients in.
    pub async fn come_back(&self, world: &World, prepare: impl FnOnce(&ShimControl)) -> anyhow::Result<()> {
        world.clients.admit(self.index, Admission::Closed);
        world.clients.drop_connections(self.index);
        let process = self.start(world, prepare)?;
        if process.ready().await {
            world.clients.admit(self.index, Admission::Open);
        }
        Ok(())
    }

    /// Another process takes over.
    pub async fn upgrade(&self, world: &World) -> anyhow::Result<()> {
        let Some(old) = self.current() else { return Ok(()) };
        let new = self.start(world, |_| {})?;
        if new.ready().await {
            self.end(world, &old).await;
        }
        Ok(())
    }

    /// Replaces the configuration and says so.
    pub async fn reload(&self, world: &World) -> anyhow::Result<()> {
        world.discovery.relocate(self.index).await?;
        world.counter.relocate(self.index).await?;
        self.write_config(&world.discovery, &world.counter)?;
        self.running().iter().for_each(|process| process.signal(Signal::SIGHUP));
        Ok(())
    }
}

async fn close_gate(clients: Arc<Clients>, gateway: GatewayIndex) {
    sleep(FRONT_NOTICES).await;
    clients.admit(gateway, Admission::KeptConnections);
}
