//! A seeded fault soak: runs real gateway processes between stand-ins, injects overlapping troubles (faults), and
//! judges the recorded events with an independent oracle.
//!
//! The program is `main.rs`; this library is public for the tests. See `docs/soak.md`.
#![deny(unsafe_code)]
#![warn(missing_docs)]

pub mod batch;
pub mod client;
pub mod coverage;
pub mod director;
pub mod gateway;
pub mod http;
pub mod link;
pub mod oracle;
pub mod process;
pub mod run;
pub mod scenario;
pub mod shim;
pub mod shrink;
pub mod stand_in;
pub mod trace;
pub mod trouble;
pub mod world;
