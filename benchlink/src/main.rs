//! Runs gateways for the simulator: reads batches of events from standard input and writes replies to
//! standard output. An error ends the process with a line on standard error.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut host = caperwind_benchlink::Host::default();
    match host.serve(std::io::stdin().lock(), std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("caperwind-benchlink: {error}");
            ExitCode::FAILURE
        }
    }
}
