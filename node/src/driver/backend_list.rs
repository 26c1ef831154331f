//! The list of backends, as discovery reports them and operators disable them.

use crate::endpoints::{Endpoint, EndpointList, Status};
use crate::hash::{fnv1a, fnv1a_step};
use caperwind::{
    BackendId, BackendRow, BackendState, CellIndex, Config, MachineKindIndex, Micros, ZoneIndex,
};
use std::collections::{BTreeMap, HashMap, HashSet};

/// The maximum number of listed backends; further ones are ignored. It also limits the number of gone ones kept.
pub(super) const MAX_BACKENDS: usize = 4096;
/// How long a gone backend is remembered, in microseconds, so that an old list cannot return it to service. No list
/// that arrives is older than this.
const GONE_RETENTION: Micros = 120_000_000;

/// What is remembered of a backend that is gone.
struct GoneBackend {
    /// The start of its last process, in milliseconds of Unix time.
    since_ms: u64,
    /// When it was removed from the list.
    removed_at: Micros,
}

/// The result of an update of a backend.
pub(super) struct UpdatedBackend {
    /// Its row for the decision module.
    pub row: BackendRow,
    /// What discovery reports of it.
    pub endpoint: Endpoint,
    /// Whether its process is the one that was known before.
    pub same_process: bool,
}

/// The backends that are listed, have gone recently, or are disabled by an operator.
#[derive(Default)]
pub(super) struct BackendList {
    /// Listed backends by name, as last reported.
    listed: HashMap<String, (BackendId, Endpoint)>,
    /// The ids of the listed backends.
    ids: HashSet<BackendId>,
    /// Gone backends by name.
    gone: HashMap<String, GoneBackend>,
    /// Backends disabled by an operator, by name, listed or not.
    disabled: BTreeMap<String, BackendId>,
}

impl BackendList {
    /// Whether no backend is listed.
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty()
    }

    /// Whether a backend of that name is listed or disabled by an operator.
    pub fn knows_backend(&self, name: &str) -> bool {
        self.listed.contains_key(name) || self.disabled.contains_key(name)
    }

    /// Disables or enables a backend for an operator, listed or not. Returns its id.
    pub fn set_disabled(&mut self, name: &str, disabled: bool) -> BackendId {
        let known = self.listed.get(name).map(|(id, _)| *id).or(self.disabled.get(name).copied());
        let id = known.unwrap_or_else(|| backend_id(name, &self.ids));
        if disabled {
            self.disabled.insert(name.to_owned(), id);
        } else {
            self.disabled.remove(name);
        }
        id
    }

    /// All listed backends, and the names of those that an operator has disabled.
    pub fn snapshot(&self) -> (EndpointList, Vec<String>) {
        let endpoints = self.listed.values().map(|(_, endpoint)| endpoint.clone()).collect();
        (EndpointList { index: 0, snapshot: true, endpoints }, self.disabled.keys().cloned().collect())
    }

    /// Merges an entry of a list that may be older than the known state into that state. Returns false if the entry
    /// is to be dropped. A process that is known to be draining or gone must not return to service through an old
    /// list; a process that has started since may.
    pub fn merge_possibly_stale(&self, endpoint: &mut Endpoint) -> bool {
        match self.listed.get(&endpoint.name) {
            Some((_, known)) if endpoint.since_ms < known.since_ms => *endpoint = known.clone(),
            Some((_, known))
                if endpoint.since_ms == known.since_ms && matches!(known.status, Status::Draining) =>
            {
                endpoint.status = known.status;
            }
            Some(_) => {}
            None => return self.gone.get(&endpoint.name).is_none_or(|g| endpoint.since_ms > g.since_ms),
        }
        true
    }

    /// The names of the listed backends that a full list does not contain, and which are gone therefore.
    pub fn missing_from(&self, list: &EndpointList) -> Vec<String> {
        let names: HashSet<&str> = list.endpoints.iter().map(|e| e.name.as_str()).collect();
        self.listed.keys().filter(|name| !names.contains(name.as_str())).cloned().collect()
    }

    /// Removes a backend that is gone. Returns its id, or `None` if it was not listed.
    pub fn remove(&mut self, name: &str, now: Micros) -> Option<BackendId> {
        let (id, endpoint) = self.listed.remove(name)?;
        self.ids.remove(&id);
        if self.gone.len() >= MAX_BACKENDS {
            self.expire_gone(now);
        }
        if self.gone.len() < MAX_BACKENDS {
            self.gone.insert(name.to_owned(), GoneBackend { since_ms: endpoint.since_ms, removed_at: now });
        }
        Some(id)
    }

    /// Forgets the backends that have been gone for longer than [`GONE_RETENTION`].
    pub fn expire_gone(&mut self, now: Micros) {
        self.gone.retain(|_, gone| now.saturating_sub(gone.removed_at) < GONE_RETENTION);
    }

    /// Applies an entry of a list. Returns `None` for a new backend if [`MAX_BACKENDS`] are listed already.
    pub fn update(&mut self, endpoint: Endpoint, config: &Config) -> Option<UpdatedBackend> {
        let known = self.listed.get(&endpoint.name).map(|(id, listed)| (*id, listed.since_ms));
        if known.is_none() && self.listed.len() >= MAX_BACKENDS {
            return None;
        }
        let id = known.map_or_else(|| backend_id(&endpoint.name, &self.ids), |(id, _)| id);
        let same_process = known.is_some_and(|(_, since_ms)| since_ms == endpoint.since_ms);
        let row = backend_row(id, &endpoint, config);
        // A gone backend is removed at once: new backends have new names, so gone ones would fill the list.
        if row.state != BackendState::Gone {
            self.gone.remove(&endpoint.name);
            self.ids.insert(id);
            self.listed.insert(endpoint.name.clone(), (id, endpoint.clone()));
        }
        Some(UpdatedBackend { row, endpoint, same_process })
    }
}

/// Returns the row of a backend for the decision module. A kind or zone that is not configured has index `u8::MAX`.
fn backend_row(backend: BackendId, endpoint: &Endpoint, config: &Config) -> BackendRow {
    let index_of = |names: &[String], name: &str| {
        let index = names.iter().position(|n| n == name);
        index.and_then(|i| u8::try_from(i).ok()).unwrap_or(u8::MAX)
    };
    BackendRow {
        backend,
        state: BackendState::from(endpoint.status),
        cell: CellIndex(endpoint.group),
        kind: MachineKindIndex(index_of(&config.machine_kinds, &endpoint.machine_kind)),
        zone: ZoneIndex(index_of(&config.zones, &endpoint.zone)),
        started_at: endpoint.since_ms.saturating_mul(1000),
        weight: endpoint.weight,
    }
}

/// Returns an id for a backend that is not among `ids`. It is made from the FNV-1a hash of the backend's name, so
/// that all gateways use the same id and it stays when the backend restarts or changes its address.
fn backend_id(name: &str, ids: &HashSet<BackendId>) -> BackendId {
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
