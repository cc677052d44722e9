//! `kiteyardctl rollout`: progress of a change of the stored state, the node that may be
//! restarted next, and operators' orders.

use std::{process::ExitCode, time::Duration};

use clap::Subcommand;
use http::Method;
use kiteyard_ctl::client::{Client, Response};
use kiteyard_rollout::{
    generation::Stage,
    restart_order,
    status::{NodeStatus, Status},
};
use serde_json::json;

use crate::{Cli, EXIT_NO_RESPONSE, EXIT_REFUSED, expect_ok, fail};

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Show nodes, builds, the generation, and the reason why the rollout waits
    Status,
    /// Show the remaining steps
    Plan {
        /// Target build of all nodes
        #[arg(long)]
        build: Option<String>,
    },
    /// Print the node that may be restarted now; exits with 3 if there is none
    Next {
        /// Target build of all nodes
        #[arg(long)]
        build: Option<String>,
    },
    /// Pause the rollout until `resume`
    Pause,
    Resume,
    /// Declare a node permanently removed, so that the rollout no longer waits for it
    Forget {
        node: String,
    },
    /// Go back to the previous generation, or to the given one, and stay there
    Downgrade {
        #[arg(long)]
        to: Option<u32>,
    },
    /// Go to the newest generation that all nodes support
    Upgrade,
    /// Make the leader step down, so that it can be restarted
    StepDown {
        node: String,
    },
}

pub(crate) async fn run(cli: &Cli, client: &Client, command: &Command) -> ExitCode {
    match command {
        Command::Status => match fetch_status(client).await {
            Ok(status) => print_status(cli, &status),
            Err(code) => code,
        },
        Command::Plan { build } => match fetch_status(client).await {
            Ok(status) => print_plan(cli, &status, build.as_deref()),
            Err(code) => code,
        },
        Command::Next { build } => match fetch_status(client).await {
            Ok(status) => print_next(cli, &status, build.as_deref()),
            Err(code) => code,
        },
        Command::Pause => send_order(cli, client, "pause").await,
        Command::Resume => send_order(cli, client, "resume").await,
        Command::Upgrade => send_order(cli, client, "newest").await,
        Command::Forget { node } => send_order(cli, client, &format!("forget/{node}")).await,
        Command::Downgrade { to } => {
            let target = match (to, fetch_status(client).await) {
                (Some(to), _) => *to,
                (None, Ok(status)) => status.from.max(status.to).saturating_sub(1).max(1),
                (None, Err(code)) => return code,
            };
            send_order(cli, client, &format!("target/{target}")).await
        }
        Command::StepDown { node } => step_down(cli, client, node).await,
    }
}

/// Returns the leader's status, or that of another node if the leader does not respond.
async fn fetch_status(client: &Client) -> Result<Status, ExitCode> {
    let mut best: Option<Status> = None;
    for response in client.get_from_each("/rollout").await.into_iter().flatten() {
        let Some(status) = parse_status(&response) else {
            continue;
        };
        if best.is_none() || status.soaked_ms.is_some() || status.clear.is_some() {
            best = Some(status);
        }
    }
    best.ok_or_else(|| fail(EXIT_NO_RESPONSE, "no node responded"))
}

fn parse_status(response: &Response) -> Option<Status> {
    (response.status == 200)
        .then(|| serde_json::from_value(response.body.clone()).ok())
        .flatten()
}

async fn send_order(cli: &Cli, client: &Client, order: &str) -> ExitCode {
    let path = format!("/rollout/{order}");
    let response = client.request(Method::POST, &path, None).await;
    if let Err(code) = expect_ok(response, "rollouts") {
        return code;
    }
    match cli.json {
        true => println!("{}", json!({"ordered": order})),
        false => println!("ordered: {order}"),
    }
    ExitCode::SUCCESS
}

async fn step_down(cli: &Cli, client: &Client, node: &str) -> ExitCode {
    let responses = client.get_from_each("/rollout").await;
    let names = responses
        .iter()
        .map(|response| Some(parse_status(response.as_ref()?)?.node));
    let Some(index) = names
        .into_iter()
        .position(|name| name.as_deref() == Some(node))
    else {
        return fail(
            EXIT_NO_RESPONSE,
            &format!("{node} does not respond at any of the given addresses"),
        );
    };
    send_order(cli, &client.for_node(index), "step-down").await
}

fn generation(status: &Status) -> String {
    match status.stage {
        Stage::Settled => format!("{} settled", status.from),
        stage => format!("{} to {}, {stage}", status.from, status.to),
    }
}

fn node_state(node: &NodeStatus) -> &'static str {
    match (node.gone, node.here, node.leads) {
        (true, _, _) => "forgotten",
        (_, false, _) => "away",
        (_, true, true) => "leads",
        _ => "here",
    }
}

fn print_status(cli: &Cli, status: &Status) -> ExitCode {
    if cli.json {
        println!("{}", serde_json::to_string(status).unwrap_or_default());
        return ExitCode::SUCCESS;
    }
    println!(
        "{:<16} {:<16} {:<10} {:<12} {:<7} features",
        "node", "zone", "state", "build", "reads"
    );
    for node in &status.nodes {
        println!(
            "{:<16} {:<16} {:<10} {:<12} {:<7} {}",
            node.node,
            node.zone,
            node_state(node),
            node.build.as_deref().unwrap_or("unknown"),
            format!("{}-{}", node.least, node.most),
            node.features.join(" ")
        );
    }
    println!("generation: {}", generation(status));
    if !status.enabled {
        println!(
            "rollouts are off on {}: start the nodes with --rollout FILE",
            status.node
        );
    }
    if let Some(why) = &status.refuses {
        println!("{} refuses: {why}", status.node);
    }
    if let Some(held) = &status.held {
        println!("held by: {held}");
    }
    let seconds = |ms: u64| format!("{:.0} s", ms as f64 / 1000.0);
    if let (Stage::Soaking, Some(soaked), Some(soak)) =
        (status.stage, status.soaked_ms, status.soak_ms)
    {
        println!("soaked: {} of {}", seconds(soaked), seconds(soak));
    }
    if let (Stage::Active | Stage::Migrating, Some(migrated)) = (status.stage, status.migrated) {
        let left = status
            .left
            .map_or("not listed yet".into(), |left| format!("{left} found"));
        println!("records rewritten: {migrated}, left: {left}");
    }
    if let Some(rest) = status
        .estimate_s
        .and_then(|s| Duration::try_from_secs_f64(s).ok())
    {
        println!("time left: about {} s", rest.as_secs());
    }
    ExitCode::SUCCESS
}

fn print_next(cli: &Cli, status: &Status, build: Option<&str>) -> ExitCode {
    match restart_order::next_node(status, build) {
        Ok(node) => {
            let leads = status.nodes.iter().any(|n| n.node == node && n.leads);
            match cli.json {
                true => println!("{}", json!({"node": node, "leads": leads})),
                false if leads => println!("{node} (leads: step it down first)"),
                false => println!("{node}"),
            }
            ExitCode::SUCCESS
        }
        Err(why) => fail(
            EXIT_REFUSED,
            &format!("no node may be restarted now: {why}"),
        ),
    }
}

fn print_plan(cli: &Cli, status: &Status, build: Option<&str>) -> ExitCode {
    let steps = restart_order::plan(status, build);
    if cli.json {
        println!("{}", json!({"steps": steps}));
        return ExitCode::SUCCESS;
    }
    for (number, step) in steps.iter().enumerate() {
        println!("{}. {step}", number + 1);
    }
    ExitCode::SUCCESS
}
