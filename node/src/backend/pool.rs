//! Connections to the backends: kept for reuse, bounded in number.

use super::local_failure::{local_error, LocalFailures, FIRST_PAUSE, LONGEST_PAUSE, MAX_WAIT};
use crate::body::budget::Budget;
use crate::config::Setup;
use crate::guard::Guard;
use crate::link::{Link, REUSE_DELAY};
use caperwind::{BackendId, LoadField, Outcome};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout, Instant};

/// Idle connections that break at their next request are kept for a shorter time from then on, down to
/// this; it grows back by this factor a second. Danger: backends, or what stands before them, were seen to let
/// go after a tenth of a second; a break after less idleness than this has another reason.
const LEAST_IDLE: Duration = Duration::from_millis(20);
const REGAIN: f64 = 1.1;

struct Peer {
    address: SocketAddr,
    /// In service: neither draining nor gone.
    ready: bool,
    /// Changes with all that makes connections from before useless.
    era: u64,
    idle: Vec<(Connection, Instant)>,
}

/// A connection, counted for as long as it lives.
pub struct Connection {
    pub(super) link: Link,
    /// Where it leads.
    pub(super) address: SocketAddr,
    /// Its backend's when it was begun.
    pub(super) era: u64,
    _permit: Permit,
}

struct Permit(Rc<Cell<usize>>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Connections to all backends.
pub struct Pool {
    peers: RefCell<HashMap<BackendId, Peer>>,
    /// The last era of any backend.
    last_era: Cell<u64>,
    open: Rc<Cell<usize>>,
    most: Cell<usize>,
    /// The longest that a connection may stand idle, as told, and as far as it has proved to hold.
    retire: Duration,
    pub(super) holds: Cell<Duration>,
    connect: Duration,
    pub(super) load_fields: Vec<LoadField>,
    /// The most units that a request counts for.
    pub(super) units_top: f64,
    /// What answers may hold while they are read.
    pub(super) bodies: Budget,
    /// Out by hand, listed or not.
    barred: RefCell<HashSet<BackendId>>,
    /// Attempts written whole.
    pub attempts_written: Rc<Cell<u64>>,
    /// Looks at each attempt before it is written.
    pub guard: Rc<Guard>,
    /// Connections that could not be begun here.
    pub local_failures: LocalFailures,
}

impl Pool {
    /// A pool with no connections, bounded as for a process that serves alone.
    pub fn new(setup: &Setup) -> Rc<Self> {
        Rc::new(Pool {
            peers: RefCell::default(),
            last_era: Cell::new(0),
            open: Rc::default(),
            most: Cell::new(setup.solo_limits.backends),
            retire: setup.backend_idle_timeout,
            holds: Cell::new(setup.backend_idle_timeout),
            connect: Duration::from_micros(setup.decision_config.connect_timeout),
            load_fields: setup.decision_config.load_fields.clone(),
            units_top: setup.decision_config.max_units.max(1.0),
            bodies: Budget::new(setup.max_body_bytes),
            barred: RefCell::default(),
            attempts_written: Rc::default(),
            guard: Rc::default(),
            local_failures: LocalFailures::default(),
        })
    }

    /// Takes in a listed backend; connections to a process that is no more in service are dropped.
    pub fn update_backend(&self, id: BackendId, address: SocketAddr, ready: bool, same_process: bool) {
        let mut peers = self.peers.borrow_mut();
        let new = || Peer { address, ready, era: self.next_era(), idle: Vec::new() };
        let peer = peers.entry(id).or_insert_with(new);
        if !ready || !same_process || peer.address != address {
            self.renew(peer);
        }
        (peer.address, peer.ready) = (address, ready);
    }

    fn next_era(&self) -> u64 {
        self.last_era.set(self.last_era.get() + 1);
        self.last_era.get()
    }

    /// Lets go of all connections to a backend. Danger: attempts that are out hold some, too; these lead to the
    /// process or the machine of before, and must not come back for the new one.
    fn renew(&self, peer: &mut Peer) {
        peer.idle.clear();
        peer.era = self.next_era();
    }

    /// A backend that is no longer listed. Attempts that are out there hold their own connections.
    pub fn remove_backend(&self, id: BackendId) {
        self.peers.borrow_mut().remove(&id);
    }

    /// Lets go of all connections to a backend.
    pub fn close_idle(&self, id: BackendId) {
        if let Some(peer) = self.peers.borrow_mut().get_mut(&id) {
            self.renew(peer);
        }
    }

    /// Lets go of what has stood idle long enough or was closed by the other side.
    pub fn sweep(&self) {
        self.holds.set(self.holds.get().mul_f64(REGAIN).min(self.retire));
        let keep = |c: &(Connection, Instant)| c.0.link.usable() && c.1.elapsed() < self.holds.get();
        self.peers.borrow_mut().values_mut().for_each(|p| p.idle.retain(keep));
    }

    /// Takes a backend out by hand, or back in; connections are kept to none that is out.
    pub fn set_disabled(&self, id: BackendId, out: bool) {
        let mut barred = self.barred.borrow_mut();
        if out {
            barred.insert(id);
            self.close_idle(id);
        } else {
            barred.remove(&id);
        }
    }

    /// The era of a backend in service; `None` for one that is not.
    pub(super) fn era(&self, id: BackendId) -> Option<u64> {
        let era = self.peers.borrow().get(&id).filter(|p| p.ready).map(|p| p.era);
        era.filter(|_| !self.barred.borrow().contains(&id))
    }

    /// The most recently used idle connection that has settled: the others are left to retire.
    pub(super) fn reuse(&self, id: BackendId) -> Option<(Connection, Duration)> {
        let mut peers = self.peers.borrow_mut();
        let idle = &mut peers.get_mut(&id)?.idle;
        while let Some(at) = idle.iter().rposition(|(_, since)| since.elapsed() >= REUSE_DELAY) {
            let (conn, since) = idle.remove(at);
            let idle = since.elapsed();
            if conn.link.usable() && idle < self.holds.get() {
                return Some((conn, idle));
            }
        }
        None
    }

    /// Drops the longest idle connection; `None` where none is idle.
    fn drop_oldest(&self) -> Option<()> {
        let mut peers = self.peers.borrow_mut();
        let oldest = peers.values_mut().filter(|p| !p.idle.is_empty()).min_by_key(|p| p.idle[0].1)?;
        oldest.idle.remove(0);
        Some(())
    }

    /// Connections held.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// From now on holds so many connections at most, as far as idle ones can make way.
    pub fn set_max_connections(&self, most: usize) {
        self.most.set(most);
        while self.open.get() > most && self.drop_oldest().is_some() {}
    }

    /// Room for one more connection; at the bound, the longest idle one makes way.
    fn permit(&self) -> Option<Permit> {
        while self.open.get() >= self.most.get() {
            self.drop_oldest()?;
        }
        self.open.set(self.open.get() + 1);
        Some(Permit(self.open.clone()))
    }

    pub(super) async fn open(&self, id: BackendId) -> Result<Connection, Outcome> {
        let (began, mut pause) = (Instant::now(), FIRST_PAUSE);
        loop {
            let peer = self.peers.borrow().get(&id).map(|p| (p.address, p.era));
            let (address, era) = peer.ok_or(Outcome::NotSent)?;
            // Danger: want of a descriptor here is no news of the backend, which would be ejected for it.
            let permit = self.permit().ok_or(Outcome::NotSent)?;
            let failed = match timeout(self.connect, Link::connect(address)).await {
                Ok(Ok(link)) => return Ok(Connection { link, address, era, _permit: permit }),
                Ok(Err(e)) => local_error(&e),
                Err(_) => None,
            };
            self.local_failures.note(failed.ok_or(Outcome::ConnectFailed)?);
            if began.elapsed() >= MAX_WAIT {
                return Err(Outcome::NotSent);
            }
            sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    /// Keeps a connection for the next request, if it can be used again.
    pub fn put_back(&self, id: BackendId, conn: Connection) {
        let keep = self.era(id) == Some(conn.era) && conn.link.usable();
        if let Some(peer) = self.peers.borrow_mut().get_mut(&id).filter(|_| keep) {
            peer.idle.push((conn, Instant::now()));
        }
    }
}

/// How long idle connections are kept once one has broken at its next request after standing idle so long.
pub fn shortened_idle_timeout(holds: Duration, idle: Duration) -> Duration {
    if idle < LEAST_IDLE {
        holds
    } else {
        holds.min(LEAST_IDLE.max(idle / 2))
    }
}
