//! `kiteyardctl drain`: draining of machines and its progress.

use std::process::ExitCode;

use clap::Subcommand;
use http::Method;
use kiteyard_ctl::client::Client;
use serde_json::{Value, json};

use crate::{Cli, expect_ok, parse_seconds};

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Show the tasks that a drain of these machines would move, and the reasons to wait
    Plan {
        #[arg(required = true)]
        machines: Vec<String>,
    },
    /// Drain machines and return them to the cloud
    Start {
        #[arg(required = true)]
        machines: Vec<String>,
        /// Seconds after which remaining tasks are stopped; without it, the drain waits for them
        #[arg(long, value_parser = parse_seconds)]
        by_s: Option<f64>,
    },
    /// List machines that are draining, and the reason why each waits
    Status,
    /// Cancel the drain of machines
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
    // Only the leader knows the machines; other nodes respond with 503, and the next is tried.
    let response = client.request(method, path, body.as_ref()).await;
    match expect_ok(response, "drains") {
        Ok(response) => {
            print_drains(cli, &response.body);
            ExitCode::SUCCESS
        }
        Err(code) => code,
    }
}

fn print_drains(cli: &Cli, body: &Value) {
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
