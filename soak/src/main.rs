//! A seeded fault soak: real gateway processes between stand-ins, troubles that overlap, an oracle of its own.
//!
//! Each run is drawn from its seed and told as one line of JSON. See `docs/soak.md`.
#![deny(unsafe_code)]

use anyhow::{ensure, Context};
use clap::{Args, Parser, Subcommand};
use gateway_soak::batch::play_all;
use gateway_soak::coverage::Coverage;
use gateway_soak::run::Kept;
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
    /// Play the runs of some seeds; the exit code is 1 where one broke.
    Run(RunArgs),
    /// Take troubles out of a broken run one at a time for as long as it still breaks.
    Shrink {
        /// The seed.
        seed: u64,
        #[command(flatten)]
        draw: DrawArgs,
    },
    /// Print what is drawn for a seed, and play nothing.
    Show {
        /// The seed.
        seed: u64,
        #[command(flatten)]
        draw: DrawArgs,
    },
    /// List the troubles.
    Troubles,
}

#[derive(Args)]
struct RunArgs {
    /// One seed, or a range with both ends: `7`, `1..40`.
    #[arg(long, value_parser = parse_seeds, default_value = "1")]
    seeds: SeedRange,
    /// Runs that go on at once; each wants a core and a half.
    #[arg(long, default_value_t = 4)]
    jobs: usize,
    /// Of the drawn troubles, these places alone, as a replay names them.
    #[arg(long, value_delimiter = ',')]
    only: Option<Vec<usize>>,
    /// Print how often each pair of troubles met.
    #[arg(long)]
    table: bool,
    #[command(flatten)]
    draw: DrawArgs,
}

#[derive(Args, Clone)]
struct DrawArgs {
    /// Also draw troubles whose faults are filed and not mended.
    #[arg(long)]
    filed: bool,
    /// Draw these kinds of trouble alone.
    #[arg(long, value_delimiter = ',')]
    kinds: Vec<String>,
    /// Gateways at the most; 0: as drawn (10 to 40).
    #[arg(long, default_value_t = 0)]
    max_gateways: usize,
    /// The gateway's program; beside this one where it is not named.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Keep logs of broken runs in this folder.
    #[arg(long)]
    logs: Option<PathBuf>,
}

#[derive(Clone, Copy, Debug)]
struct SeedRange {
    first: u64,
    last: u64,
}

fn parse_seeds(text: &str) -> Result<SeedRange, String> {
    let number = |text: &str| text.parse::<u64>().map_err(|e| format!("{text:?}: {e}"));
    let (first, last) = match text.split_once("..") {
        Some((first, last)) => (number(first)?, number(last)?),
        None => (number(text)?, number(text)?),
    };
    if first > last {
        return Err(format!("{text:?}: the first seed is above the last one"));
    }
    Ok(SeedRange { first, last })
}

impl DrawArgs {
    fn choice(&self) -> anyhow::Result<DrawOptions> {
        let kinds = self.kinds.iter().map(|name| {
            TroubleKind::named(name).with_context(|| format!("no trouble is named {name:?}; see `troubles`"))
        });
        let kinds = kinds.collect::<Result<_, _>>()?;
        Ok(DrawOptions { filed: self.filed, kinds, max_gateways: self.max_gateways })
    }

    fn kept(&self) -> anyhow::Result<Kept> {
        let own = std::env::current_exe()?;
        let beside = own.parent().context("this program stands in no folder")?;
        let program = self.program.clone().unwrap_or_else(|| beside.join("badgerglade"));
        let shim = beside.join("libsoak_shim.so");
        for path in [&program, &shim] {
            ensure!(path.exists(), "{} is not there: run `cargo build --workspace` first", path.display());
        }
        Ok(Kept { program: program.canonicalize()?, shim, logs: self.logs.clone() })
    }

    /// The command that plays a seed again.
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
            let places: Vec<String> = only.iter().map(usize::to_string).collect();
            command += &format!(" --only {}", places.join(","));
        }
        command
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build();
    let done = match runtime {
        Ok(runtime) => runtime.block_on(perform(cli.command)),
        Err(e) => Err(e.into()),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("gateway-soak: {e:#}");
            ExitCode::from(2)
        }
    }
}

/// True where everything held.
async fn perform(command: Command) -> anyhow::Result<bool> {
    match command {
        Command::Troubles => {
            for kind in TroubleKind::ALL {
                println!("{}{}", kind.name(), if kind.filed() { " (filed: drawn with --filed)" } else { "" });
            }
            Ok(true)
        }
        Command::Show { seed, draw } => {
            println!("{}", serde_json::to_string_pretty(&Scenario::draw(seed, &draw.choice()?))?);
            Ok(true)
        }
        Command::Run(args) => run_seeds(args).await,
        Command::Shrink { seed, draw } => {
            let replay = |places: &[usize]| draw.replay(seed, Some(places));
            shrink(&Scenario::draw(seed, &draw.choice()?), &draw.kept()?, replay).await
        }
    }
}

async fn run_seeds(args: RunArgs) -> anyhow::Result<bool> {
    ensure!((1..=MAX_SLOTS).contains(&args.jobs), "--jobs takes 1 to {}", MAX_SLOTS);
    let (choice, kept) = (args.draw.choice()?, args.draw.kept()?);
    let seeds: Vec<u64> = (args.seeds.first..=args.seeds.last).collect();
    let scenarios: Vec<(Scenario, String)> = seeds
        .into_iter()
        .map(|seed| {
            let drawn = Scenario::draw(seed, &choice);
            let scenario = args.only.as_ref().map_or_else(|| drawn.clone(), |only| drawn.with_troubles(only));
            (scenario, args.draw.replay(seed, args.only.as_deref()))
        })
        .collect();
    let mut coverage = Coverage::default();
    let reports = play_all(scenarios, &kept, args.jobs, |scenario, report| {
        coverage.note(scenario, report.verdict != "held");
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
