//! badgerglade: a quota-keeping HTTP gateway for order traffic on real sockets. The program runs
//! [`process::run`]; the other modules are public for the tests and tools of this repository.
#![deny(unsafe_code)]
#![warn(missing_docs)]

pub mod admission;
pub mod backend;
pub mod body;
pub mod clock;
pub mod config;
pub mod counter;
pub mod discovery;
pub mod driver;
pub mod endpoints;
pub mod figures;
pub mod guard;
pub mod handover;
pub mod hash;
pub mod link;
pub mod logging;
pub mod memory;
pub mod meter;
pub mod ops;
pub mod process;
pub mod reasons;
pub mod server;
pub mod supervisor;
pub mod tcp_info;
