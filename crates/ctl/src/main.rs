//! `kiteyardctl`: the command-line client, which submits, follows and cancels jobs.

#![warn(missing_docs, unreachable_pub)]

mod drain;
mod rollout;

use std::{
    collections::BTreeMap, io::IsTerminal, net::SocketAddr, path::PathBuf, process::ExitCode,
    time::Duration,
};

use clap::{Args, CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use http::Method;
use indicatif::{ProgressBar, ProgressStyle};
use kiteyard_ctl::{
    client::{Client, Response},
    job::Job,
};
use serde_json::{Value, json};

/// Submits jobs to kiteyard, follows them and cancels them
///
/// Exit codes: 0 success, 1 no node responded in time, 2 invalid flag or file, 3 refused or
/// not found, 4 the job was cancelled during `wait`.
#[derive(Debug, Parser)]
#[command(name = "kiteyardctl", version)]
struct Cli {
    /// Address of a node; may be given several times
    #[arg(
        long = "node",
        env = "KITEYARD_NODES",
        value_delimiter = ',',
        global = true,
        value_name = "ADDR"
    )]
    nodes: Vec<SocketAddr>,

    /// Print JSON, one object per line
    #[arg(long, global = true)]
    json: bool,

    /// Seconds for which a request is retried
    #[arg(long, default_value_t = 60.0, global = true, value_name = "SECONDS", value_parser = parse_seconds)]
    within_s: f64,

    #[command(subcommand)]
    command: Command,
}

fn parse_seconds(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(value) if (0.0..=86_400.0).contains(&value) => Ok(value),
        _ => Err("expected seconds between 0 and 86400".into()),
    }
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Submit the job described by a TOML file
    Submit(Submit),
    /// Show a job's state
    Status { job: String },
    /// Wait until a job is done or cancelled
    Wait { job: String },
    /// Cancel a job
    Cancel { job: String },
    /// Show licences: seats, in use, waiting, by team
    Licences,
    /// Drain machines within the disruption budgets
    #[command(subcommand)]
    Drain(drain::Command),
    /// Roll out a change of the stored state, node by node
    #[command(subcommand)]
    Rollout(rollout::Command),
    /// Print a completion script for a shell
    Completions { shell: Shell },
}

#[derive(Debug, Args)]
struct Submit {
    /// The job file
    file: PathBuf,
    /// Override the id in the file
    #[arg(long)]
    id: Option<String>,
    /// Override the number of tasks in the file
    #[arg(long)]
    tasks: Option<u32>,
    /// Seats for each task, as NAME=SEATS; may be given several times
    #[arg(long = "licence", value_name = "NAME=SEATS", value_parser = parse_seats)]
    licences: Vec<(String, u32)>,
    /// Wait until the job is done
    #[arg(long)]
    wait: bool,
}

fn parse_seats(text: &str) -> Result<(String, u32), String> {
    let pair = text.split_once('=');
    let seats = pair.and_then(|(name, seats)| Some((name.to_owned(), seats.parse().ok()?)));
    seats.ok_or_else(|| "expected NAME=SEATS".into())
}

const EXIT_NO_RESPONSE: u8 = 1;
const EXIT_USAGE: u8 = 2;
const EXIT_REFUSED: u8 = 3;
const EXIT_CANCELLED: u8 = 4;
const NO_RESPONSE: &str = "no node responded in time";
/// Interval between the status requests of `wait`.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

fn main() -> ExitCode {
    let cli = match Cli::try_parse() {
        Ok(cli) => cli,
        Err(error) if error.use_stderr() => {
            let text = error.to_string();
            let summary = text.split("\n\n").next().unwrap_or_default();
            let words: Vec<&str> = summary.split_whitespace().collect();
            return fail(EXIT_USAGE, words.join(" ").trim_start_matches("error: "));
        }
        Err(help) => {
            print!("{help}");
            return ExitCode::SUCCESS;
        }
    };
    if let Command::Completions { shell } = cli.command {
        let name = "kiteyardctl";
        clap_complete::generate(shell, &mut Cli::command(), name, &mut std::io::stdout());
        return ExitCode::SUCCESS;
    }
    if cli.nodes.is_empty() {
        return fail(
            EXIT_USAGE,
            "no node: give --node ADDR or set KITEYARD_NODES",
        );
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(run(&cli)),
        Err(error) => fail(EXIT_NO_RESPONSE, &error.to_string()),
    }
}

fn fail(code: u8, message: &str) -> ExitCode {
    eprintln!("kiteyardctl: {message}");
    ExitCode::from(code)
}

async fn run(cli: &Cli) -> ExitCode {
    let client = Client::new(cli.nodes.clone(), Duration::from_secs_f64(cli.within_s));
    match &cli.command {
        Command::Submit(submit) => submit_job(cli, &client, submit).await,
        Command::Status { job } => {
            let response = client
                .request(Method::GET, &format!("/work/{job}"), None)
                .await;
            print_response(cli, job, response)
        }
        Command::Cancel { job } => {
            let path = format!("/work/{job}/withdraw");
            print_response(cli, job, client.request(Method::POST, &path, None).await)
        }
        Command::Wait { job } => wait(cli, &client, job).await,
        Command::Licences => licences(cli, &client).await,
        Command::Drain(command) => drain::run(cli, &client, command).await,
        Command::Rollout(command) => rollout::run(cli, &client, command).await,
        Command::Completions { .. } => ExitCode::SUCCESS,
    }
}

async fn submit_job(cli: &Cli, client: &Client, submit: &Submit) -> ExitCode {
    let mut job = match Job::load(&submit.file) {
        Ok(job) => job,
        Err(error) => return fail(EXIT_USAGE, &error.to_string()),
    };
    job.id = submit.id.clone().unwrap_or(job.id);
    job.tasks = submit.tasks.unwrap_or(job.tasks);
    job.licences
        .extend(submit.licences.iter().cloned().collect::<BTreeMap<_, _>>());
    if let Err(error) = job.check() {
        return fail(EXIT_USAGE, &error.to_string());
    }
    let body = job.submission();
    // Submissions are idempotent by job id, so retries create no second job.
    let response = client.request(Method::POST, "/work", Some(&body)).await;
    let accepted = response
        .as_ref()
        .is_some_and(|a| matches!(a.status, 200 | 201));
    match accepted && submit.wait {
        true => wait(cli, client, &job.id).await,
        false => print_response(cli, &job.id, response),
    }
}

/// Prints one line about a job, or the error.
fn print_response(cli: &Cli, job: &str, response: Option<Response>) -> ExitCode {
    match response {
        None => fail(EXIT_NO_RESPONSE, NO_RESPONSE),
        Some(response) if matches!(response.status, 200 | 201) => {
            print_job(cli, job, &response);
            ExitCode::SUCCESS
        }
        Some(response) => fail(EXIT_REFUSED, &format!("{job}: {}", response.error())),
    }
}

fn print_job(cli: &Cli, job: &str, response: &Response) {
    let count = |field: &str| response.body[field].as_u64().unwrap_or(0);
    let (done, running) = (count("done"), count("running"));
    match cli.json {
        true => {
            let state = response.state();
            println!(
                "{}",
                json!({"job": job, "state": state, "done": done, "running": running})
            );
        }
        false => println!(
            "{job} {} ({done} done, {running} running)",
            response.state()
        ),
    }
}

async fn wait(cli: &Cli, client: &Client, job: &str) -> ExitCode {
    let bar = (std::io::stderr().is_terminal() && !cli.json).then(|| {
        let style = ProgressStyle::with_template("{prefix} {spinner} {msg} {elapsed}");
        let bar = ProgressBar::new_spinner().with_prefix(job.to_owned());
        style.map_or(bar.clone(), |style| bar.with_style(style))
    });
    let mut last = Value::Null;
    loop {
        let response = client
            .request(Method::GET, &format!("/work/{job}"), None)
            .await;
        let Some(response) = response.filter(|a| a.status != 404 || last.is_null()) else {
            return fail(EXIT_NO_RESPONSE, NO_RESPONSE);
        };
        if response.status != 200 {
            return print_response(cli, job, Some(response));
        }
        let state = response.state().to_owned();
        let finished = matches!(state.as_str(), "done" | "cancelled");
        match &bar {
            Some(bar) => {
                let count = |field: &str| response.body[field].as_u64().unwrap_or(0);
                let (done, running) = (count("done"), count("running"));
                bar.set_message(format!("{state}, {done} done, {running} running"));
                bar.tick();
                if finished {
                    bar.finish_and_clear();
                    print_job(cli, job, &response);
                }
            }
            None if response.body != last => print_job(cli, job, &response),
            None => {}
        }
        if finished {
            return match state.as_str() {
                "done" => ExitCode::SUCCESS,
                _ => ExitCode::from(EXIT_CANCELLED),
            };
        }
        last = response.body;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the response of 200 to an operator's request; prints any other one as an error.
/// A response of 404 means that the node's build is older than `feature`.
fn expect_ok(response: Option<Response>, feature: &str) -> Result<Response, ExitCode> {
    match response {
        None => Err(fail(EXIT_NO_RESPONSE, NO_RESPONSE)),
        Some(response) if response.status == 200 => Ok(response),
        Some(response) if response.status == 404 => Err(fail(
            EXIT_REFUSED,
            &format!("the node does not support {feature}"),
        )),
        Some(response) => Err(fail(EXIT_USAGE, response.error())),
    }
}

async fn licences(cli: &Cli, client: &Client) -> ExitCode {
    let response = client.request(Method::GET, "/licences", None).await;
    let Some(response) = response else {
        return fail(EXIT_NO_RESPONSE, NO_RESPONSE);
    };
    if response.status != 200 {
        return fail(EXIT_REFUSED, response.error());
    }
    if cli.json {
        println!("{}", response.body);
        return ExitCode::SUCCESS;
    }
    let empty = Vec::new();
    let all = response.body["licences"].as_array().unwrap_or(&empty);
    println!(
        "{:<24} {:>6} {:>6} {:>9} {:>7}  teams",
        "licence", "seats", "in use", "lingering", "waiting"
    );
    for licence in all {
        let number = |field: &str| licence[field].as_u64().unwrap_or(0);
        let teams = licence["teams"].as_object().into_iter().flatten();
        let teams: Vec<String> = teams.map(|(team, n)| format!("{team} {n}")).collect();
        println!(
            "{:<24} {:>6} {:>6} {:>9} {:>7}  {}",
            licence["name"].as_str().unwrap_or("?"),
            number("seats"),
            number("in_use") + number("maybe") + number("elsewhere"),
            number("lingering"),
            number("waiting"),
            teams.join(", ")
        );
    }
    if response.body["fresh"] != Value::Bool(true) {
        let age = response.body["age_ms"].as_u64().unwrap_or(0);
        println!("the leader's data is {age} ms old");
    }
    ExitCode::SUCCESS
}
