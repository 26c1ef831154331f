//! What a gateway is told: the NODE_* variables and the JSON file they name, at its start and on SIGHUP.

use crate::endpoints::EndpointList;
use crate::hash::fnv1a;
use caperwind::Config;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::path::PathBuf;
use std::time::Duration;

/// Descriptors that belong to none of the pools: the runtime's and the log's, the listener, one that is
/// being accepted, discovery before and after a reload, and those that are closed but not yet given back.
const SPARE_DESCRIPTORS: usize = 24;
/// Nothing moves with fewer connections to clients, or to backends, than this.
const LEAST_SHARE: usize = 8;
/// Where the file states no limit, or a higher one.
const MOST_DESCRIPTORS: usize = 1024;
/// Operators' connections.
const OPS_CONNECTIONS: usize = 8;
/// Connections that the counter holds for one gateway (32), less some for those it has not seen closed; and
/// what each of two processes may have.
const COUNTER_CONNECTIONS: usize = 20;
const COUNTER_PAIRED: usize = 10;
/// The part of the memory that bodies may hold, clients' and answers each.
const BODY_PART: usize = 8;

#[derive(Deserialize)]
struct File {
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

#[derive(Deserialize)]
struct Limits {
    sockets: Option<usize>,
    memory_mb: Option<usize>,
}

/// Connections that a process holds.
#[derive(Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct OpenConnections {
    pub clients: usize,
    pub backends: usize,
}

/// Bounds on connections, so that all of them together fit the descriptor limit.
#[derive(Clone, Copy)]
pub struct ConnectionLimits {
    pub clients: usize,
    pub backends: usize,
    pub counter: usize,
}

impl ConnectionLimits {
    /// For so many processes together, but `counter`, which is for each. A limit that could not be kept is an error.
    fn of(descriptors: usize, processes: usize, counter: usize) -> Result<Self, String> {
        let set_apart = processes * (SPARE_DESCRIPTORS + counter + OPS_CONNECTIONS);
        let least = set_apart + 2 * LEAST_SHARE;
        if descriptors < least {
            return Err(format!("limits: {descriptors} descriptors, at least {least} are needed"));
        }
        let share = (descriptors - set_apart) / 2;
        Ok(ConnectionLimits { clients: share, backends: share, counter })
    }

    /// What another process leaves of what both may hold, and some in any case: without, nothing moves.
    pub fn beside(self, other: OpenConnections) -> Self {
        let left = |most: usize, held: usize| most.saturating_sub(held).max(most / 8);
        let (clients, backends) = (left(self.clients, other.clients), left(self.backends, other.backends));
        ConnectionLimits { clients, backends, ..self }
    }
}

/// Everything the program needs to start.
pub struct Setup {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub counter: Option<SocketAddr>,
    /// Where operators call, if anywhere.
    pub ops: Option<SocketAddr>,
    pub seed: u64,
    pub initial_list: Option<EndpointList>,
    pub decision_config: Config,
    /// Descriptors that all processes of this gateway may hold together.
    pub max_descriptors: usize,
    /// Bounds on connections while this process serves alone, and for two together.
    pub solo_limits: ConnectionLimits,
    pub paired_limits: ConnectionLimits,
    /// The clients' listening socket, where the platform holds it.
    pub inherited_listener_fd: Option<RawFd>,
    /// Where two processes of this gateway meet.
    pub handover_socket: Option<PathBuf>,
    pub max_operator_connections: usize,
    /// Bytes that clients' bodies may hold together, and answers as many.
    pub max_body_bytes: usize,
    /// How long a connection to a backend may stand idle before this side closes it.
    pub backend_idle_timeout: Duration,
}

fn address(what: &str, env: &str, file: Option<String>) -> Result<SocketAddr, String> {
    let text = std::env::var(env).ok().or(file).ok_or_else(|| format!("{what}: not given"))?;
    text.parse().map_err(|e| format!("{what} {text:?}: {e}"))
}

/// The file that `NODE_CONFIG` names; the error is one plain line.
fn read<T: DeserializeOwned>() -> Result<T, String> {
    let path = std::env::var("NODE_CONFIG").map_err(|_| "NODE_CONFIG: not set")?;
    let text = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
    serde_json::from_slice(&text).map_err(|e| format!("{path}: {e}"))
}

/// What a replaced file may change while the program runs; what it leaves out stays as it is.
#[derive(Deserialize)]
pub struct Reload {
    pub discovery: Option<SocketAddr>,
    pub counter: Option<SocketAddr>,
}

impl Reload {
    /// Danger: `NODE_DISCOVERY` is that of the start for ever; on a reload the file alone speaks.
    pub fn from_file() -> Result<Self, String> {
        read()
    }
}

impl Setup {
    /// Reads the environment and the file; the error is one plain line.
    pub fn from_env() -> Result<Self, String> {
        let file: File = read()?;
        let settings = serde_json::to_vec(&file.settings).map_err(|e| e.to_string())?;
        let module = caperwind_benchlink::parse_settings(&settings)?;
        module.validate().map_err(|e| e.to_string())?;
        let idle_close = file.settings.pointer("/policy_limits/idle_close_us").and_then(|v| v.as_u64());
        let idle_close = Duration::from_micros(idle_close.unwrap_or(15_000_000));
        let limits = file.limits.unwrap_or(Limits { sockets: None, memory_mb: None });
        let descriptors = limits.sockets.unwrap_or(MOST_DESCRIPTORS).min(own_limit());
        let body_bytes = (limits.memory_mb.unwrap_or(32) << 20) / BODY_PART;
        let counter = match file.counter {
            Some(text) => Some(text.parse().map_err(|e| format!("counter {text:?}: {e}"))?),
            None => None,
        };
        let ops = match std::env::var("NODE_OPS").ok().or(file.ops) {
            Some(text) => Some(text.parse().map_err(|e| format!("ops {text:?}: {e}"))?),
            None => None,
        };
        let inherited = match std::env::var("NODE_FD") {
            Ok(text) => Some(text.parse().map_err(|e| format!("NODE_FD {text:?}: {e}"))?),
            Err(_) => None,
        };
        let listen = address("listen", "NODE_LISTEN", file.listen)?;
        // Danger: without a folder of its own, this would be one that other gateways use, too.
        let meet = std::env::var_os("TMPDIR").map(|dir| PathBuf::from(dir).join(format!("{listen}.sock")));
        Ok(Setup {
            ops,
            name: std::env::var("NODE_NAME").ok().or(file.name).unwrap_or_default(),
            listen,
            discovery: address("discovery", "NODE_DISCOVERY", file.discovery)?,
            counter,
            seed: u64::from_str_radix(&file.seed, 16).unwrap_or_else(|_| rough_seed(&file.seed)),
            initial_list: file.known,
            decision_config: module,
            max_body_bytes: body_bytes,
            max_descriptors: descriptors,
            solo_limits: ConnectionLimits::of(descriptors, 1, COUNTER_CONNECTIONS)?,
            paired_limits: ConnectionLimits::of(descriptors, 2, COUNTER_PAIRED)?,
            inherited_listener_fd: inherited,
            handover_socket: meet,
            max_operator_connections: OPS_CONNECTIONS,
            // Danger: a request written to a connection that the backend is closing ends as a reset,
            // which for an unsafe class is a failure. Well before its limit no such race is near.
            backend_idle_timeout: idle_close.mul_f64(0.6),
        })
    }
}

/// The process's own limit on descriptors. Danger: the file may allow more than the system does.
fn own_limit() -> usize {
    let own = rlimit::Resource::NOFILE.get_soft().ok().and_then(|limit| usize::try_from(limit).ok());
    own.map_or(MOST_DESCRIPTORS, |own| own.min(MOST_DESCRIPTORS))
}

fn rough_seed(text: &str) -> u64 {
    fnv1a(text.as_bytes())
}
