//! `kiteyardctl drain`: machines that are to be emptied, and how far that is.

use std::process::ExitCode;

use clap::Subcommand;
use http::Method;
use kiteyard_ctl::client::Client;
use serde_json::{Value, json};

use crate::{Cli, accepted, seconds};

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// What emptying these machines would move and wait for
    Plan {
        #[arg(required = true)]
        machines: Vec<String>,
    },
    /// Empties machines and returns them
    Start {
        #[arg(required = true)]
        machines: Vec<String>,
        /// After so many seconds, work that has not ended is stopped; without it, it is waited for
        #[arg(long, value_parser = seconds)]
        by_s: Option<f64>,
    },
    /// Machines that are being emptied, and what each waits for
    Status,
    /// Leaves machines as they are
    Cancel {
        #[arg(required = true)]
        machines: Vec<String>,
    },
}

pub(crate) async fn run(cli: &Cli, client: &Client, command: &Command) -> ExitCode {
    let (method, path, body) = match command {
        Command::Status => (Method::GET, "/drains", None),
        Command::Plan { machines } => (
            Method::POST,
            "/drains/plan",
            Some(json!({ "machines": machines })),
        ),
        Command::Start { machines, by_s } => (
            Method::POST,
            "/drains/start",
            Some(json!({ "machines": machines, "by_s": by_s })),
        ),
        Command::Cancel { machines } => (
            Method::POST,
            "/drains/cancel",
            Some(json!({ "machines": machines })),
        ),
    };
    // Only the leader knows the machines; the others answer 503, and the next one is asked.
    let answer = client.ask(method, path, body.as_ref()).await;
    match accepted(answer, "drains") {
        Ok(answer) => {
            show(cli, &answer.body);
            ExitCode::SUCCESS
        }
        Err(code) => code,
    }
}

fn show(cli: &Cli, body: &Value) {
    if cli.json {
        println!("{body}");
        return;
    }
    println!(
        "{:<16} {:<16} {:<9} {:>8} {:>6} {:>5}  waits for",
        "machine", "zone", "state", "replicas", "arrays", "gangs"
    );
    for machine in body["machines"].as_array().into_iter().flatten() {
        let text = |field: &str| machine[field].as_str().unwrap_or("");
        let number = |field: &str| machine[field].as_u64().unwrap_or(0);
        println!(
            "{:<16} {:<16} {:<9} {:>8} {:>6} {:>5}  {}",
            text("machine"),
            text("zone"),
            text("state"),
            number("replicas"),
            number("array_tasks"),
            number("gang_tasks"),
            text("waits")
        );
    }
}
