//! The program: runs one process of a gateway.
#![deny(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    badgerglade::logging::start();
    match badgerglade::process::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("badgerglade: {error}");
            ExitCode::FAILURE
        }
    }
}
