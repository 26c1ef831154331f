//! The command line of the fault soak: runs real gateway processes between stand-ins, injects overlapping troubles
//! (faults), and judges the recorded events with an independent oracle.
//!
//! Each run is drawn from its seed and reported as one line of JSON. See `docs/soak.md`.
#![deny(unsafe_code)]

use anyhow::{ensure, Context};
use clap::{Args, Parser, Subcommand};
use gateway_soak::batch::run_all;
use gateway_soak::coverage::Coverage;
use gateway_soak::run::RunPaths;
use gateway_soak::scenario::{DrawOptions, Scenario};
use gateway_soak::shrink::shrink;
use gateway_soak::trouble::TroubleKind;
use gateway_soak::world::MAX_SLOTS;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Execute the runs of some seeds; the exit code is 1 if any of them did not hold.
    Run(RunArgs),
    /// Remove troubles from a broken run one at a time while it still breaks.
    Shrink {
        /// The seed of the run.
        seed: u64,
        #[command(flatten)]
        draw: DrawArgs,
    },
    /// Print what is drawn for a seed without executing the run.
    Show {
        /// The seed of the run.
        seed: u64,
        #[command(flatten)]
        draw: DrawArgs,
    },
    /// List the kinds of trouble.
    Troubles,
}

#[derive(Args)]
struct RunArgs {
    /// One seed, or a range with both ends: `7`, `1..40`.
    #[arg(long, value_parser = parse_seeds, default_value = "1")]
    seeds: SeedRange,
    /// The number of runs at the same time; each needs about 1.5 cores.
    #[arg(long, default_value_t = 4)]
    jobs: usize,
    /// Keep only the drawn troubles with these indices, as printed in a replay command.
    #[arg(long, value_delimiter = ',')]
    only: Option<Vec<usize>>,
    /// Print how often each pair of kinds of trouble overlapped.
    #[arg(long)]
    table: bool,
    #[command(flatten)]
    draw: DrawArgs,
}

#[derive(Args, Clone)]
struct DrawArgs {
    /// Also draw kinds of trouble whose faults are filed and not yet fixed.
    #[arg(long)]
    filed: bool,
    /// Draw these kinds of trouble only.
    #[arg(long, value_delimiter = ',')]
    kinds: Vec<String>,
    /// The maximum number of gateways; 0 for no limit (10 to 40 are drawn).
    #[arg(long, default_value_t = 0)]
    max_gateways: usize,
    /// The gateway's program; by default the one in the folder of this program.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Save the logs of runs that did not hold in this folder.
    #[arg(long)]
    logs: Option<PathBuf>,
}

/// A range of seeds with both ends.
#[derive(Clone, Copy, Debug)]
struct SeedRange {
    first: u64,
    last: u64,
}

/// Parses `7` or `1..40`.
fn parse_seeds(text: &str) -> Result<SeedRange, String> {
    let number = |text: &str| text.parse::<u64>().map_err(|e| format!("{text:?}: {e}"));
    let (first, last) = match text.split_once("..") {
        Some((first, last)) => (number(first)?, number(last)?),
        None => (number(text)?, number(text)?),
    };
    if first > last {
        return Err(format!("{text:?}: the first seed is greater than the last one"));
    }
    Ok(SeedRange { first, last })
}

impl DrawArgs {
    /// The options for drawing. Fails on an unknown kind of trouble.
    fn options(&self) -> anyhow::Result<DrawOptions> {
        let kinds = self.kinds.iter().map(|name| {
            TroubleKind::from_name(name)
                .with_context(|| format!("unknown kind of trouble {name:?}; see `troubles`"))
        });
        let kinds = kinds.collect::<Result<_, _>>()?;
        Ok(DrawOptions { include_filed: self.filed, kinds, max_gateways: self.max_gateways })
    }

    /// The programs and the folder for logs. Fails if a program does not exist.
    fn run_paths(&self) -> anyhow::Result<RunPaths> {
        let own = std::env::current_exe()?;
        let folder = own.parent().context("the path of this program has no folder")?;
        let program = self.program.clone().unwrap_or_else(|| folder.join("badgerglade"));
        let shim = folder.join("libsoak_shim.so");
        for path in [&program, &shim] {
            ensure!(path.exists(), "{} does not exist: run `cargo build --workspace` first", path.display());
        }
        Ok(RunPaths { program: program.canonicalize()?, shim, logs: self.logs.clone() })
    }

    /// The command that repeats the run of a seed, with the troubles at the indices `only` if given.
    fn replay(&self, seed: u64, only: Option<&[usize]>) -> String {
        let mut command = format!("gateway-soak run --seeds {seed}");
        if self.filed {
            command += " --filed";
        }
        if !self.kinds.is_empty() {
            command += &format!(" --kinds {}", self.kinds.join(","));
        }
        if self.max_gateways > 0 {
            command += &format!(" --max-gateways {}", self.max_gateways);
        }
        if let Some(only) = only {
            let indices: Vec<String> = only.iter().map(usize::to_string).collect();
            command += &format!(" --only {}", indices.join(","));
        }
        command
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(perform(cli.command)),
        Err(e) => Err(e.into()),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("gateway-soak: {e:#}");
            ExitCode::from(2)
        }
    }
}

/// Performs a command. Returns false for the exit code 1: if a run did not hold, or `shrink` saw the seed break.
async fn perform(command: Command) -> anyhow::Result<bool> {
    match command {
        Command::Troubles => {
            for kind in TroubleKind::ALL {
                println!(
                    "{}{}",
                    kind.name(),
                    if kind.is_filed() { " (filed: drawn with --filed)" } else { "" }
                );
            }
            Ok(true)
        }
        Command::Show { seed, draw } => {
            println!("{}", serde_json::to_string_pretty(&Scenario::draw(seed, &draw.options()?))?);
            Ok(true)
        }
        Command::Run(args) => run_seeds(args).await,
        Command::Shrink { seed, draw } => {
            let replay = |indices: &[usize]| draw.replay(seed, Some(indices));
            shrink(&Scenario::draw(seed, &draw.options()?), &draw.run_paths()?, replay).await
        }
    }
}

/// Executes and reports the runs of some seeds. Returns true if all of them held.
async fn run_seeds(args: RunArgs) -> anyhow::Result<bool> {
    ensure!((1..=MAX_SLOTS).contains(&args.jobs), "--jobs takes 1 to {}", MAX_SLOTS);
    let (options, paths) = (args.draw.options()?, args.draw.run_paths()?);
    let seeds: Vec<u64> = (args.seeds.first..=args.seeds.last).collect();
    let scenarios: Vec<(Scenario, String)> = seeds
        .into_iter()
        .map(|seed| {
            let drawn = Scenario::draw(seed, &options);
            let scenario = args.only.as_ref().map_or_else(|| drawn.clone(), |only| drawn.with_troubles(only));
            (scenario, args.draw.replay(seed, args.only.as_deref()))
        })
        .collect();
    let mut coverage = Coverage::default();
    let reports = run_all(scenarios, &paths, args.jobs, |scenario, report| {
        coverage.record(scenario, report.verdict != "held");
        if let Ok(line) = serde_json::to_string(report) {
            println!("{line}");
        }
    })
    .await?;
    if args.table {
        println!("{coverage}");
    }
    let held = reports.iter().filter(|report| report.verdict == "held").count();
    println!("{held} passed, {} failed", reports.len() - held);
    Ok(held == reports.len())
}
