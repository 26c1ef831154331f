//! The program: one process of a real gateway.
#![deny(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    badgerglade::logging::start();
    match badgerglade::process::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            log::error!("badgerglade: {why}");
            ExitCode::FAILURE
        }
    }
}
