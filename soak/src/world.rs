//! The test environment of one run: the gateways, the stand-ins and the clients.

use crate::client::Clients;
use crate::gateway::GatewayHost;
use crate::process::ProcessPaths;
use crate::scenario::Scenario;
use crate::stand_in::backend::Backend;
use crate::stand_in::counter::Counter;
use crate::stand_in::discovery::{Discovery, Registry};
use crate::trace::Trace;
use serde_json::json;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::AtomicU64;
use std::sync::Arc;

/// The maximum number of runs that one process executes at the same time.
pub const MAX_SLOTS: usize = 5;
/// The number of addresses that are reserved for a run.
const ADDRESSES_PER_SLOT: usize = 50;

/// The gateways of a run and everything that they are connected to.
pub struct World {
    /// The scenario of the run.
    pub scenario: Arc<Scenario>,
    /// The record of events.
    pub trace: Arc<Trace>,
    /// The programs and the folder of the run.
    pub paths: ProcessPaths,
    /// The gateways.
    pub gateways: Vec<GatewayHost>,
    /// The backends.
    pub backends: Vec<Arc<Backend>>,
    /// Held while a backend is stopped and started, one for each backend.
    pub backend_lifecycles: Vec<tokio::sync::Mutex<()>>,
    /// The discovery service.
    pub discovery: Discovery,
    /// The counter service.
    pub counter: Counter,
    /// The clients.
    pub clients: Arc<Clients>,
}

/// The loopback address of a gateway. It contains the lower 15 bits of the process id and the slot, to keep the
/// addresses of runs at the same time on one machine apart.
fn gateway_ip(slot: usize, gateway: usize) -> IpAddr {
    let pid = std::process::id();
    let last = slot * ADDRESSES_PER_SLOT + gateway + 1;
    IpAddr::V4(Ipv4Addr::new(127, 128 | (pid >> 8 & 0x7f) as u8, pid as u8, last as u8))
}

impl World {
    /// Sets up the environment without starting a gateway. Fails if a listener or a folder cannot be created.
    pub async fn set_up(scenario: Scenario, paths: ProcessPaths, slot: usize) -> anyhow::Result<Self> {
        let (scenario, trace) = (Arc::new(scenario), Arc::new(Trace::default()));
        let ips: Vec<IpAddr> = (0..scenario.gateways).map(|gateway| gateway_ip(slot, gateway)).collect();
        let attempts = Arc::new(AtomicU64::new(0));
        let (mut backends, mut addresses) = (Vec::new(), vec![Vec::new(); ips.len()]);
        for index in 0..scenario.backends {
            let (backend, gateway_addresses) =
                Backend::start(index, &scenario, &ips, trace.clone(), attempts.clone()).await?;
            addresses.iter_mut().zip(gateway_addresses).for_each(|(list, address)| list.push(address));
            backends.push(backend);
        }
        let registry = Registry::new(trace.clone(), addresses);
        let discovery = Discovery::start(registry, &ips).await?;
        let counter = Counter::start(&ips).await?;
        let limits = json!({"cores": 1.0, "memory_mb": scenario.settings.memory_mb, "sockets": scenario.settings.sockets});
        let mut gateways = Vec::new();
        for (index, ip) in ips.iter().enumerate() {
            let settings = scenario.settings.to_gateway_json(index, scenario.gateways);
            let platform = scenario.has_platform_listener(index);
            let seed = scenario.seed;
            gateways.push(GatewayHost::new(index, *ip, platform, &paths, settings, limits.clone(), seed)?);
        }
        let listen_addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.address).collect();
        let clients = Clients::new(trace.clone(), scenario.clone(), &listen_addresses);
        let backend_lifecycles = backends.iter().map(|_| tokio::sync::Mutex::default()).collect();
        Ok(World {
            scenario,
            trace,
            paths,
            gateways,
            backends,
            backend_lifecycles,
            discovery,
            counter,
            clients,
        })
    }
}
