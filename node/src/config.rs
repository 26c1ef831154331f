//! The configuration of a gateway: `NODE_*` environment variables and the JSON file that `NODE_CONFIG` names,
//! read at the start and on SIGHUP.

use crate::endpoints::EndpointList;
use crate::hash::fnv1a;
use crate::memory::MemoryLimits;
use caperwind::Config;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::path::PathBuf;
use std::time::Duration;

/// Descriptors of a process that belong to no pool: those of the runtime, the log and the listener, a connection
/// being accepted, discovery's before and after a reload, and those that are closed but not yet released.
const RESERVED_DESCRIPTORS: usize = 24;
/// The minimum number of connections from clients, and of those to backends, without which a gateway makes no
/// progress.
const MIN_CONNECTIONS: usize = 8;
/// The descriptor limit if the file states none, and its upper bound.
const MAX_DESCRIPTORS: usize = 1024;
/// The maximum number of concurrent connections of operators.
const MAX_OPERATOR_CONNECTIONS: usize = 8;
/// The number of connections to the counter while one process runs. The counter allows 32 for each gateway; the
/// rest is left for connections whose end it has not seen yet.
const COUNTER_CONNECTIONS: usize = 20;
/// The number of connections to the counter for each of two processes.
const COUNTER_CONNECTIONS_PAIRED: usize = 10;
/// The memory limit in MB if the file states none: the least that a gateway gets.
const MIN_MEMORY_MB: usize = 32;

/// The configuration file.
#[derive(Deserialize)]
struct ConfigFile {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    counter: Option<String>,
    ops: Option<String>,
    #[serde(default)]
    seed: String,
    limits: Option<Limits>,
    known: Option<EndpointList>,
    settings: serde_json::Value,
}

/// Limits of the platform on this gateway.
#[derive(Deserialize)]
struct Limits {
    sockets: Option<usize>,
    memory_mb: Option<usize>,
}

/// What a process holds of the resources that all processes of its gateway share.
#[derive(Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ProcessUsage {
    /// Connections from clients.
    pub clients: usize,
    /// Connections to backends.
    pub backends: usize,
    /// Resident memory in bytes; 0 if the process's version does not tell it.
    #[serde(default)]
    pub resident_bytes: usize,
}

/// Limits on connections, which together fit the descriptor limit.
#[derive(Clone, Copy)]
pub struct ConnectionLimits {
    /// Connections from clients.
    pub clients: usize,
    /// Connections to backends.
    pub backends: usize,
    /// Connections to the counter.
    pub counter: usize,
}

impl ConnectionLimits {
    /// Divides `descriptors` among the connections that `processes` processes have together; only `counter` is for
    /// each process. Fails if too few would be left for clients and backends.
    fn for_processes(descriptors: usize, processes: usize, counter: usize) -> Result<Self, String> {
        let reserved = processes * (RESERVED_DESCRIPTORS + counter + MAX_OPERATOR_CONNECTIONS);
        let min_descriptors = reserved + 2 * MIN_CONNECTIONS;
        if descriptors < min_descriptors {
            return Err(format!("limits: {descriptors} descriptors, at least {min_descriptors} are needed"));
        }
        let share = (descriptors - reserved) / 2;
        Ok(ConnectionLimits { clients: share, backends: share, counter })
    }

    /// Returns these limits, with no more clients than `memory` allows.
    fn within(self, memory: MemoryLimits) -> Self {
        let clients = self.clients.min(memory.client_connections.max(MIN_CONNECTIONS));
        ConnectionLimits { clients, ..self }
    }

    /// Returns the limits that remain for this process beside the open connections of another. At least an eighth
    /// of each is left, since a process without connections makes no progress.
    pub fn left_by(self, other: ProcessUsage) -> Self {
        let left = |limit: usize, open: usize| limit.saturating_sub(open).max(limit / 8);
        let (clients, backends) = (left(self.clients, other.clients), left(self.backends, other.backends));
        ConnectionLimits { clients, backends, ..self }
    }
}

/// Everything that the process needs to start.
pub struct Setup {
    /// The name of this gateway in its log.
    pub name: String,
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The address of the counter, if there is one.
    pub counter: Option<SocketAddr>,
    /// The address at which operators connect, if any.
    pub ops: Option<SocketAddr>,
    /// The seed of the random numbers.
    pub seed: u64,
    /// The list of backends to start with, if the file has one.
    pub initial_list: Option<EndpointList>,
    /// The configuration of the decision module.
    pub decision_config: Config,
    /// The descriptors that all processes of this gateway may hold together.
    pub max_descriptors: usize,
    /// Limits on connections while this process serves alone.
    pub solo_limits: ConnectionLimits,
    /// Limits on connections of two processes together.
    pub paired_limits: ConnectionLimits,
    /// The descriptor of the clients' listening socket, if the platform holds it.
    pub inherited_listener_fd: Option<RawFd>,
    /// The path of the Unix socket at which two processes of this gateway find each other, if they can.
    pub handover_socket: Option<PathBuf>,
    /// The maximum number of concurrent connections of operators.
    pub max_operator_connections: usize,
    /// The memory that all processes of this gateway may hold together, in bytes.
    pub memory_bytes: usize,
    /// The memory for each purpose.
    pub memory: MemoryLimits,
    /// How long a connection to a backend may be idle before this side closes it.
    pub backend_idle_timeout: Duration,
}

/// Returns an address from an environment variable or else from the file.
fn configured_address(
    setting: &str,
    variable: &str,
    file_value: Option<String>,
) -> Result<SocketAddr, String> {
    let text = std::env::var(variable)
        .ok()
        .or(file_value)
        .ok_or_else(|| format!("{setting}: no address in {variable} or in the configuration file"))?;
    text.parse().map_err(|e| format!("{setting} {text:?}: {e}"))
}

/// Reads the file that `NODE_CONFIG` names. The error is one line that names the file.
fn read_config_file<T: DeserializeOwned>() -> Result<T, String> {
    let path = std::env::var("NODE_CONFIG").map_err(|_| "NODE_CONFIG: not set")?;
    let text = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
    serde_json::from_slice(&text).map_err(|e| format!("{path}: {e}"))
}

/// The settings that a changed file may change while the process runs; those that it leaves out stay as they are.
#[derive(Deserialize)]
pub struct Reload {
    /// The new address of discovery.
    pub discovery: Option<SocketAddr>,
    /// The new address of the counter.
    pub counter: Option<SocketAddr>,
}

impl Reload {
    /// Reads the file again. Only the file counts on a reload, since `NODE_DISCOVERY` keeps its value from the
    /// start of the process. The error is one line that names the file.
    pub fn from_file() -> Result<Self, String> {
        read_config_file()
    }
}

impl Setup {
    /// Reads the environment and the file. The error is one line.
    pub fn from_env() -> Result<Self, String> {
        let file: ConfigFile = read_config_file()?;
        let settings = serde_json::to_vec(&file.settings).map_err(|e| e.to_string())?;
        let mut decision_config = caperwind_benchlink::parse_settings(&settings)?;
        decision_config.validate().map_err(|e| e.to_string())?;
        let idle_close = file.settings.pointer("/policy_limits/idle_close_us").and_then(|v| v.as_u64());
        let idle_close = Duration::from_micros(idle_close.unwrap_or(15_000_000));
        let limits = file.limits.unwrap_or(Limits { sockets: None, memory_mb: None });
        let max_descriptors = limits.sockets.unwrap_or(MAX_DESCRIPTORS).min(process_descriptor_limit());
        let memory_bytes = limits.memory_mb.unwrap_or(MIN_MEMORY_MB) << 20;
        let memory = MemoryLimits::divide(memory_bytes);
        decision_config.max_customers = memory.customers;
        let counter = match file.counter {
            Some(text) => Some(text.parse().map_err(|e| format!("counter {text:?}: {e}"))?),
            None => None,
        };
        let ops = match std::env::var("NODE_OPS").ok().or(file.ops) {
            Some(text) => Some(text.parse().map_err(|e| format!("ops {text:?}: {e}"))?),
            None => None,
        };
        let inherited_listener_fd = match std::env::var("NODE_FD") {
            Ok(text) => Some(text.parse().map_err(|e| format!("NODE_FD {text:?}: {e}"))?),
            Err(_) => None,
        };
        let listen = configured_address("listen", "NODE_LISTEN", file.listen)?;
        // Without a folder of this gateway's own, other gateways would use the same path, so there is no default.
        let handover_socket =
            std::env::var_os("TMPDIR").map(|dir| PathBuf::from(dir).join(format!("{listen}.sock")));
        Ok(Setup {
            ops,
            name: std::env::var("NODE_NAME").ok().or(file.name).unwrap_or_default(),
            listen,
            discovery: configured_address("discovery", "NODE_DISCOVERY", file.discovery)?,
            counter,
            seed: u64::from_str_radix(&file.seed, 16).unwrap_or_else(|_| seed_from_text(&file.seed)),
            initial_list: file.known,
            decision_config,
            memory_bytes,
            memory,
            max_descriptors,
            solo_limits: ConnectionLimits::for_processes(max_descriptors, 1, COUNTER_CONNECTIONS)?
                .within(memory),
            paired_limits: ConnectionLimits::for_processes(max_descriptors, 2, COUNTER_CONNECTIONS_PAIRED)?
                .within(memory),
            inherited_listener_fd,
            handover_socket,
            max_operator_connections: MAX_OPERATOR_CONNECTIONS,
            // A request written to a connection that the backend is just closing ends as a reset, which is a
            // failure for an unsafe class. Closing on this side well before the backend's limit avoids that race.
            backend_idle_timeout: idle_close.mul_f64(0.6),
        })
    }
}

/// Returns the limit on descriptors of the process itself, since the file may allow more than the system does.
fn process_descriptor_limit() -> usize {
    let soft_limit = rlimit::Resource::NOFILE.get_soft().ok().and_then(|limit| usize::try_from(limit).ok());
    soft_limit.map_or(MAX_DESCRIPTORS, |limit| limit.min(MAX_DESCRIPTORS))
}

/// Derives a seed from text that is not a hexadecimal number.
fn seed_from_text(text: &str) -> u64 {
    fnv1a(text.as_bytes())
}
