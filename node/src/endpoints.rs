//! Lists of backends in discovery's JSON format.

use caperwind::{BackendState, ListKind};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A full list of backends, or the changes since an earlier list.
#[derive(Serialize, Deserialize)]
pub struct EndpointList {
    /// The version of the list.
    pub index: u64,
    /// Whether the list is complete, rather than a list of changes.
    #[serde(default)]
    pub snapshot: bool,
    /// The backends in the list.
    pub endpoints: Vec<Endpoint>,
}

impl EndpointList {
    /// Returns how the decision module is to apply this list.
    pub fn kind(&self) -> ListKind {
        if self.snapshot {
            ListKind::Full
        } else {
            ListKind::Delta
        }
    }
}

/// A backend as discovery lists it.
#[derive(Clone, Serialize, Deserialize)]
pub struct Endpoint {
    /// The name, which stays when the backend restarts or moves.
    pub name: String,
    /// The address at which it accepts connections.
    pub address: SocketAddr,
    /// The name of its zone.
    #[serde(default)]
    pub zone: String,
    /// The name of its machine kind.
    #[serde(default, rename = "type")]
    pub machine_kind: String,
    /// The number of the cell that it belongs to.
    #[serde(default)]
    pub group: u16,
    /// Its status.
    pub status: Status,
    /// Its weight; 1 if the list gives none.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// When its process started, in milliseconds since the Unix epoch; 0 if the list does not say.
    #[serde(default)]
    pub since_ms: u64,
}

fn default_weight() -> f64 {
    1.0
}

/// The status of a backend in a list.
#[derive(Serialize, Deserialize, Clone, Copy)]
#[serde(rename_all = "UPPERCASE")]
pub enum Status {
    /// The backend takes requests.
    Serving,
    /// The backend finishes the requests that it has, and takes no new ones.
    Draining,
    /// The backend no longer exists.
    Deleted,
}

impl From<Status> for BackendState {
    fn from(s: Status) -> Self {
        match s {
            Status::Serving => BackendState::Ready,
            Status::Draining => BackendState::Draining,
            Status::Deleted => BackendState::Gone,
        }
    }
}
