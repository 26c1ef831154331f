//! Stand-ins for the systems around the gateways: backends, discovery and the counter.

pub mod backend;
pub mod counter;
pub mod discovery;
mod door;
