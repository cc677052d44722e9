use std::process::ExitCode;

use clap::Parser;
use kiteyard::{cli::Cli, core::config::Options, io, settings::Settings};
use tracing::Level;
use tracing_subscriber::{filter::Targets, layer::SubscriberExt, util::SubscriberInitExt};

fn main() -> ExitCode {
    let cli = match Cli::try_parse() {
        Ok(cli) => cli,
        Err(error) if error.use_stderr() => {
            eprintln!("kiteyard: {}", error_line(&error.to_string()));
            return ExitCode::from(2);
        }
        Err(help) => {
            print!("{help}");
            return ExitCode::SUCCESS;
        }
    };
    match run(&cli) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("kiteyard: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Returns the error message of the argument parser on one line, without the usage text.
fn error_line(error: &str) -> String {
    let message = error.split("\n\n").next().unwrap_or(error);
    let words: Vec<&str> = message.split_whitespace().collect();
    words.join(" ").trim_start_matches("error: ").to_owned()
}

fn run(cli: &Cli) -> Result<(), Box<dyn std::error::Error>> {
    let settings = Settings::load(&cli.config)?;
    let licences = cli.licences()?;
    let rollout = cli.rollout()?;
    let maintenance = cli.maintenance()?;
    if cli.check {
        return Ok(());
    }
    // Libraries log errors only.
    let log_filter = Targets::new()
        .with_default(Level::ERROR)
        .with_target("kiteyard", cli.log_level);
    let log_layer = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .with_target(false);
    tracing_subscriber::registry()
        .with(log_layer)
        .with(log_filter)
        .init();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let options = Options {
        licences,
        rollout,
        maintenance,
        incarnation: rand::random(),
        ..cli.options()
    };
    runtime.block_on(io::serve(settings, options))?;
    Ok(())
}
