//! A gateway as the platform runs it: its address, its folder, its configuration and its successive processes.

use crate::client::{Admission, Clients};
use crate::process::{Launch, Process, ProcessPaths};
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

/// The port that clients connect to.
const CLIENT_PORT: u16 = 8081;
/// The operators' port of a gateway's first process; each later process gets the next port.
const FIRST_OPS_PORT: u16 = 9001;
/// The time after SIGTERM during which the front still opens new connections to the process.
const FRONT_NOTICE_DELAY: Duration = Duration::from_millis(250);
/// SIGKILL is sent this long after a request that began just before SIGTERM has reached the longest deadline.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Longer deadlines count as this when the time of SIGKILL is computed.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);

/// One gateway on the platform.
pub struct GatewayHost {
    /// The gateway's index in the fleet.
    pub index: GatewayIndex,
    /// The address that clients connect to.
    pub address: SocketAddr,
    ip: IpAddr,
    /// The listening socket for clients, if the platform holds it.
    listener: Option<TcpListener>,
    folder: PathBuf,
    config: PathBuf,
    settings: Value,
    limits: Value,
    seed: u64,
    next_ops_port: AtomicU16,
    /// Held while the gateway's processes are started and stopped.
    pub lifecycle: tokio::sync::Mutex<()>,
    /// All processes so far, oldest first.
    processes: Mutex<Vec<Arc<Process>>>,
}

impl GatewayHost {
    /// Creates a gateway without a process. `platform_listener` tells whether the platform holds its listening
    /// socket; `settings` and `limits` are parts of its configuration.
    ///
    /// Fails if the address cannot be bound or the folder cannot be created.
    pub fn new(
        index: GatewayIndex,
        ip: IpAddr,
        platform_listener: bool,
        paths: &ProcessPaths,
        settings: Value,
        limits: Value,
        seed: u64,
    ) -> anyhow::Result<Self> {
        let address = SocketAddr::new(ip, CLIENT_PORT);
        let listener = if platform_listener { Some(TcpListener::bind(address)?) } else { None };
        let folder = paths.folder.join(format!("g{index}"));
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

    /// Whether the platform holds the listening socket, so that one process can take over from another.
    pub fn has_platform_listener(&self) -> bool {
        self.listener.is_some()
    }

    /// Writes the configuration file with the present addresses of discovery and the counter.
    fn write_config(&self, discovery: &Discovery, counter: &Counter) -> anyhow::Result<()> {
        let config = json!({
            "name": format!("n{}", self.index), "listen": self.address,
            "discovery": discovery.address(self.index), "counter": counter.address(self.index),
            "seed": format!("{:016x}", self.seed.wrapping_add(self.index as u64 * 7919)),
            "limits": self.limits, "known": discovery.registry.initial_list(self.index), "settings": self.settings,
        });
        // A process that is just starting reads the file: it finds the old text or the new one, and no part of either.
        let next = self.config.with_extension("next");
        std::fs::write(&next, config.to_string())?;
        Ok(std::fs::rename(next, &self.config)?)
    }

    /// Writes the configuration and starts a process; `prepare` can make its system calls fail from the start.
    pub fn start(&self, world: &World, prepare: impl FnOnce(&ShimControl)) -> anyhow::Result<Arc<Process>> {
        self.write_config(&world.discovery, &world.counter)?;
        let port = self.next_ops_port.fetch_add(1, Ordering::Relaxed);
        let launch = Launch {
            gateway: self.index,
            listen: self.address,
            inherited_listener: self.listener.as_ref(),
            ops: SocketAddr::new(self.ip, port),
            discovery: world.discovery.address(self.index),
            config: &self.config,
            folder: &self.folder,
        };
        let process = Process::start(&world.paths, &launch, world.trace.clone(), prepare)?;
        self.lock_processes().push(process.clone());
        Ok(process)
    }

    fn lock_processes(&self) -> std::sync::MutexGuard<'_, Vec<Arc<Process>>> {
        self.processes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The running processes, oldest first.
    pub fn running(&self) -> Vec<Arc<Process>> {
        self.lock_processes().iter().filter(|process| !process.has_exited()).cloned().collect()
    }

    /// The process that operators call: the oldest running one.
    pub fn current(&self) -> Option<Arc<Process>> {
        self.running().first().cloned()
    }

    /// The log lines of all processes of the gateway.
    pub fn logs(&self) -> Vec<String> {
        self.lock_processes().iter().flat_map(|process| process.log.lines()).collect()
    }

    /// The time from SIGTERM to SIGKILL.
    fn termination_timeout(world: &World) -> Duration {
        let longest = world.scenario.settings.deadlines_ms.iter().max().copied().unwrap_or(0);
        Duration::from_millis(longest).min(MAX_COUNTED_DEADLINE) + KILL_MARGIN
    }

    /// Terminates a process, kills it if it does not exit in time, and waits for its exit.
    pub async fn stop(&self, world: &World, process: &Process) {
        process.terminate();
        process.wait_for_exit(Self::termination_timeout(world)).await;
        process.kill();
        process.wait_for_exit(Duration::from_secs(5)).await;
    }

    /// Stops the current process and starts a new one. The front notices SIGTERM after a delay and then opens no more
    /// connections to the old process.
    pub async fn restart(&self, world: &World) -> anyhow::Result<()> {
        let _guard = self.lifecycle.lock().await;
        let Some(process) = self.current() else { return Ok(()) };
        let clients = world.clients.clone();
        tokio::spawn(refuse_new_connections(clients, self.index));
        self.stop(world, &process).await;
        self.start_and_admit(world, |_| {}).await
    }

    /// Starts a process after its predecessor is gone, and admits clients once the new process is ready.
    pub async fn start_and_admit(
        &self,
        world: &World,
        prepare: impl FnOnce(&ShimControl),
    ) -> anyhow::Result<()> {
        world.clients.admit(self.index, Admission::Closed);
        world.clients.drop_connections(self.index);
        let process = self.start(world, prepare)?;
        if process.wait_until_ready().await {
            world.clients.admit(self.index, Admission::Open);
        }
        Ok(())
    }

    /// Starts a process that takes over from the current one, which is stopped once the new one is ready.
    pub async fn upgrade(&self, world: &World) -> anyhow::Result<()> {
        let Some(old) = self.current() else { return Ok(()) };
        let new = self.start(world, |_| {})?;
        if new.wait_until_ready().await {
            self.stop(world, &old).await;
        }
        Ok(())
    }

    /// Moves discovery and the counter to other addresses, writes the new configuration and sends SIGHUP.
    pub async fn reload(&self, world: &World) -> anyhow::Result<()> {
        world.discovery.relocate(self.index).await?;
        world.counter.relocate(self.index).await?;
        self.write_config(&world.discovery, &world.counter)?;
        self.running().iter().for_each(|process| process.signal(Signal::SIGHUP));
        Ok(())
    }
}

/// Stops the front from opening connections to a gateway, after the delay with which it notices.
async fn refuse_new_connections(clients: Arc<Clients>, gateway: GatewayIndex) {
    sleep(FRONT_NOTICE_DELAY).await;
    clients.admit(gateway, Admission::ExistingConnections);
}
