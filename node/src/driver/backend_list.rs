//! The backends as discovery and operators have told them.

use crate::endpoints::{Endpoint, EndpointList, Status};
use crate::hash::{fnv1a, fnv1a_step};
use caperwind::{
    BackendId, BackendRow, BackendState, CellIndex, Config, MachineKindIndex, Micros, ZoneIndex,
};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Backends remembered; further ones are passed over.
pub(super) const MAX_BACKENDS: usize = 4096;
/// Those that have gone are remembered for so long: no list is older.
const REMEMBER_GONE: Micros = 120_000_000;

/// A backend that has gone.
struct Gone {
    /// The start of its last process, in milliseconds of Unix time.
    since_ms: u64,
    at: Micros,
}

/// A backend that a list tells of.
pub(super) struct Listed {
    /// As the module knows it.
    pub row: BackendRow,
    /// Its address, unless it is gone.
    pub endpoint: Endpoint,
    /// It is the process that was known before.
    pub same_process: bool,
}

/// The backends that are listed, were listed a while ago, or are out by hand.
#[derive(Default)]
pub(super) struct BackendList {
    /// Listed backends by name, as last told.
    listed: HashMap<String, (BackendId, Endpoint)>,
    /// The ids of these.
    ids: HashSet<BackendId>,
    gone: HashMap<String, Gone>,
    /// Out by hand, listed or not.
    barred: BTreeMap<String, BackendId>,
}

impl BackendList {
    /// Whether none is listed.
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty()
    }

    /// Whether a backend of that name is listed or out by hand.
    pub fn knows(&self, name: &str) -> bool {
        self.listed.contains_key(name) || self.barred.contains_key(name)
    }

    /// Takes a backend out by hand, or back in; one that is not listed yet, too.
    pub fn bar(&mut self, name: &str, out: bool) -> BackendId {
        let known = self.listed.get(name).map(|(id, _)| *id).or(self.barred.get(name).copied());
        let id = known.unwrap_or_else(|| id_of(name, &self.ids));
        if out {
            self.barred.insert(name.to_owned(), id);
        } else {
            self.barred.remove(name);
        }
        id
    }

    /// All that is listed, and the names of those that are out by hand.
    pub fn snapshot(&self) -> (EndpointList, Vec<String>) {
        let endpoints = self.listed.values().map(|(_, e)| e.clone()).collect();
        (EndpointList { index: 0, snapshot: true, endpoints }, self.barred.keys().cloned().collect())
    }

    /// Whether a list that may be older than what is held tells of this backend at all. Danger: what was told to
    /// drain or to go must not come back with it; a process that has started since may.
    pub fn stays(&self, endpoint: &mut Endpoint) -> bool {
        match self.listed.get(&endpoint.name) {
            Some((_, held)) if endpoint.since_ms < held.since_ms => *endpoint = held.clone(),
            Some((_, held))
                if endpoint.since_ms == held.since_ms && matches!(held.status, Status::Draining) =>
            {
                endpoint.status = held.status;
            }
            Some(_) => {}
            None => return self.gone.get(&endpoint.name).is_none_or(|g| endpoint.since_ms > g.since_ms),
        }
        true
    }

    /// The names that a whole list leaves out: these are gone.
    pub fn left_out(&self, list: &EndpointList) -> Vec<String> {
        let named: HashSet<&str> = list.endpoints.iter().map(|e| e.name.as_str()).collect();
        self.listed.keys().filter(|name| !named.contains(name.as_str())).cloned().collect()
    }

    /// A backend is gone; `None` where it was not listed.
    pub fn remove(&mut self, name: &str, now: Micros) -> Option<BackendId> {
        let (id, endpoint) = self.listed.remove(name)?;
        self.ids.remove(&id);
        if self.gone.len() >= MAX_BACKENDS {
            self.forget_gone(now);
        }
        if self.gone.len() < MAX_BACKENDS {
            self.gone.insert(name.to_owned(), Gone { since_ms: endpoint.since_ms, at: now });
        }
        Some(id)
    }

    /// Forgets those that have gone long ago.
    pub fn forget_gone(&mut self, now: Micros) {
        self.gone.retain(|_, gone| now.saturating_sub(gone.at) < REMEMBER_GONE);
    }

    /// Takes in what a list tells of a backend; `None` for one more than may be remembered.
    pub fn take_in(&mut self, endpoint: Endpoint, module: &Config) -> Option<Listed> {
        let known = self.listed.get(&endpoint.name).map(|(id, held)| (*id, held.since_ms));
        if known.is_none() && self.listed.len() >= MAX_BACKENDS {
            return None;
        }
        let id = known.map_or_else(|| id_of(&endpoint.name, &self.ids), |(id, _)| id);
        let same_process = known.is_some_and(|(_, since_ms)| since_ms == endpoint.since_ms);
        let row = row(id, &endpoint, module);
        // Names are ever new: what is gone is forgotten at once.
        if row.state != BackendState::Gone {
            self.gone.remove(&endpoint.name);
            self.ids.insert(id);
            self.listed.insert(endpoint.name.clone(), (id, endpoint.clone()));
        }
        Some(Listed { row, endpoint, same_process })
    }
}

/// A backend as the module knows it.
fn row(backend: BackendId, endpoint: &Endpoint, module: &Config) -> BackendRow {
    let place = |names: &[String], name: &str| {
        let at = names.iter().position(|n| n == name);
        at.and_then(|i| u8::try_from(i).ok()).unwrap_or(u8::MAX)
    };
    BackendRow {
        backend,
        state: BackendState::from(endpoint.status),
        cell: CellIndex(endpoint.group),
        kind: MachineKindIndex(place(&module.machine_kinds, &endpoint.machine_kind)),
        zone: ZoneIndex(place(&module.zones, &endpoint.zone)),
        started_at: endpoint.since_ms.saturating_mul(1000),
        weight: endpoint.weight,
    }
}

/// The module's id for a backend: made from its name by FNV-1a, which all gateways know it by and which stays
/// when its process restarts or its address changes.
fn id_of(name: &str, ids: &HashSet<BackendId>) -> BackendId {
    let mut hash = fnv1a(name.as_bytes());
    loop {
        let bytes = hash.to_be_bytes();
        let id = BackendId {
            address: [bytes[0], bytes[1], bytes[2], bytes[3]],
            port: u16::from_be_bytes([bytes[4], bytes[5]]),
        };
        if !ids.contains(&id) {
            return id;
        }
        hash = fnv1a_step(hash, 0);
    }
}
