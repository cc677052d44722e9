//! Command line of the scale test: arguments, files and exit codes.

#![warn(missing_docs, unreachable_pub)]

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use clap::{Parser, Subcommand, ValueEnum};
use kiteyard_scale_test::{
    config::{Config, ConfigError},
    report::{Axis, report, runs_table},
    result::RunResult,
    run::{RunError, run},
};

/// Exit code for invalid arguments or files.
const EXIT_USAGE: u8 = 2;

/// Measure one cell of kiteyard on one machine.
#[derive(Debug, Parser)]
#[command(name = "scale-test", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run the cell that a file describes, once
    Run {
        file: PathBuf,
        /// Directory for results, and for the controllers' settings and logs
        #[arg(long, default_value = "scale-results")]
        out: PathBuf,
    },
    /// Run the cell with several fleet sizes or several loads, one after another
    Sweep {
        file: PathBuf,
        /// Numbers of workers; quotas and load scale with them
        #[arg(long, value_delimiter = ',')]
        workers: Vec<usize>,
        /// Task starts per second and worker that the submitted jobs require
        #[arg(long, value_delimiter = ',', conflicts_with = "workers")]
        starts_per_worker: Vec<f64>,
        #[arg(long, default_value = "scale-results")]
        out: PathBuf,
    },
    /// Fit straight lines to the results of several runs
    Report {
        #[arg(required = true)]
        results: Vec<PathBuf>,
        /// Quantity that the lines are fitted over
        #[arg(long, value_enum, default_value = "workers")]
        by: FitAxis,
        /// Also print the value of each line at this point
        #[arg(long)]
        at: Option<f64>,
    },
}

#[derive(Debug, Clone, Copy, ValueEnum)]
enum FitAxis {
    Workers,
    Starts,
}

#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error("{path}: {error}")]
    Config { path: String, error: ConfigError },
    #[error("{path}: {error}")]
    File { path: String, error: std::io::Error },
    #[error("{path}: not a result file: {error}")]
    NotAResult {
        path: String,
        error: serde_json::Error,
    },
    #[error("sweep: `--workers` or `--starts-per-worker` is required")]
    MissingSweepValues,
    #[error(transparent)]
    Run(#[from] RunError),
    #[error("{0} rule violations or unexpected controller exits; see the result")]
    RulesBroken(usize),
}

impl Failure {
    fn exit_code(&self) -> ExitCode {
        match self {
            Self::Config { .. } | Self::MissingSweepValues | Self::File { .. } => {
                ExitCode::from(EXIT_USAGE)
            }
            Self::NotAResult { .. } | Self::Run(_) | Self::RulesBroken(_) => ExitCode::FAILURE,
        }
    }
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    match execute(cli.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("scale-test: {failure}");
            failure.exit_code()
        }
    }
}

fn execute(command: Command) -> Result<(), Failure> {
    match command {
        Command::Run { file, out } => {
            let config = load(&file)?;
            let name = config.name.clone();
            run_all(&[(name, config)], &out)
        }
        Command::Sweep {
            file,
            workers,
            starts_per_worker,
            out,
        } => {
            let config = load(&file)?;
            let runs = sweep(&file, &config, &workers, &starts_per_worker)?;
            run_all(&runs, &out)
        }
        Command::Report { results, by, at } => {
            let results: Vec<RunResult> = results
                .iter()
                .map(|path| read_result(path))
                .collect::<Result<_, _>>()?;
            let axis = match by {
                FitAxis::Workers => Axis::Workers,
                FitAxis::Starts => Axis::StartsPerSecond,
            };
            print!("{}", report(&results, axis, at));
            Ok(())
        }
    }
}

/// Returns the named runs of a sweep, all of them checked before the first one starts.
fn sweep(
    file: &Path,
    config: &Config,
    workers: &[usize],
    starts_per_worker: &[f64],
) -> Result<Vec<(String, Config)>, Failure> {
    if workers.is_empty() && starts_per_worker.is_empty() {
        return Err(Failure::MissingSweepValues);
    }
    let by_workers = workers.iter().map(|count| {
        let name = format!("{}-{count}-workers", config.name);
        (name, config.with_workers(*count))
    });
    let by_starts = starts_per_worker.iter().map(|starts| {
        let name = format!("{}-{starts}-starts", config.name);
        (name, config.with_starts_per_worker(*starts))
    });
    let runs = by_workers.chain(by_starts).map(|(name, changed)| {
        let changed = changed.map_err(|error| Failure::Config {
            path: file.display().to_string(),
            error,
        })?;
        Ok((name, changed))
    });
    runs.collect()
}

fn run_all(runs: &[(String, Config)], out: &Path) -> Result<(), Failure> {
    let mut violation_count = 0;
    for (name, config) in runs {
        // Each run has its own runtime, so that no task of one run continues in the next.
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(HARNESS_THREADS)
            .enable_all()
            .build()
            .map_err(RunError::from)?;
        let result = runtime.block_on(run(config, &out.join(name)));
        runtime.shutdown_background();
        let result = result?;
        write_result(&out.join(format!("{name}.json")), &result)?;
        violation_count += result.violations.len() + result.controllers_ended.len();
        print!("{}", runs_table(&[&result]));
    }
    match violation_count {
        0 => Ok(()),
        _ => Err(Failure::RulesBroken(violation_count)),
    }
}

/// Threads of hollow workers, stand-ins and users; the other cores remain for the controllers.
const HARNESS_THREADS: usize = 3;

fn load(path: &Path) -> Result<Config, Failure> {
    let text = read(path)?;
    Config::parse(&text).map_err(|error| Failure::Config {
        path: path.display().to_string(),
        error,
    })
}

fn read_result(path: &Path) -> Result<RunResult, Failure> {
    let text = read(path)?;
    serde_json::from_str(&text).map_err(|error| Failure::NotAResult {
        path: path.display().to_string(),
        error,
    })
}

fn read(path: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(path).map_err(|error| Failure::File {
        path: path.display().to_string(),
        error,
    })
}

fn write_result(path: &Path, result: &RunResult) -> Result<(), Failure> {
    let text = serde_json::to_string_pretty(result).unwrap_or_default() + "\n";
    std::fs::write(path, text).map_err(|error| Failure::File {
        path: path.display().to_string(),
        error,
    })
}
