//! `kiteyardctl rollout`: how a change of the stored state stands, which node may be
//! restarted now, and operators' orders.

use std::{process::ExitCode, time::Duration};

use clap::Subcommand;
use http::Method;
use kiteyard_ctl::client::{Answer, Client};
use kiteyard_rollout::{
    generation::Stage,
    restart_order,
    status::{NodeStatus, Status},
};
use serde_json::json;

use crate::{Cli, REFUSED, UNANSWERED, accepted, fail};

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Nodes, builds, the generation, and what holds it
    Status,
    /// What would be done next, step by step
    Plan {
        /// The build that all nodes are to be of
        #[arg(long)]
        build: Option<String>,
    },
    /// The node that may be restarted now; exits with 3 where none may
    Next {
        /// The build that all nodes are to be of
        #[arg(long)]
        build: Option<String>,
    },
    /// Nothing moves until `resume`
    Pause,
    Resume,
    /// A node is gone for good: nobody waits for it
    Forget {
        node: String,
    },
    /// Goes back to the generation before, or to the one given, and stays there
    Downgrade {
        #[arg(long)]
        to: Option<u32>,
    },
    /// Goes to the newest generation that all are able to
    Upgrade,
    /// A leader hands over, so that it can be restarted
    StepDown {
        node: String,
    },
}

pub(crate) async fn run(cli: &Cli, client: &Client, command: &Command) -> ExitCode {
    match command {
        Command::Status => match status(client).await {
            Ok(status) => show(cli, &status),
            Err(code) => code,
        },
        Command::Plan { build } => match status(client).await {
            Ok(status) => plan(cli, &status, build.as_deref()),
            Err(code) => code,
        },
        Command::Next { build } => match status(client).await {
            Ok(status) => next(cli, &status, build.as_deref()),
            Err(code) => code,
        },
        Command::Pause => order(cli, client, "pause").await,
        Command::Resume => order(cli, client, "resume").await,
        Command::Upgrade => order(cli, client, "newest").await,
        Command::Forget { node } => order(cli, client, &format!("forget/{node}")).await,
        Command::Downgrade { to } => {
            let target = match (to, status(client).await) {
                (Some(to), _) => *to,
                (None, Ok(status)) => status.from.max(status.to).saturating_sub(1).max(1),
                (None, Err(code)) => return code,
            };
            order(cli, client, &format!("target/{target}")).await
        }
        Command::StepDown { node } => step_down(cli, client, node).await,
    }
}

/// The leader's status, or that of any node where the leader does not answer.
async fn status(client: &Client) -> Result<Status, ExitCode> {
    let mut best: Option<Status> = None;
    for answer in client.ask_each("/rollout").await.into_iter().flatten() {
        let Some(status) = read(&answer) else {
            continue;
        };
        if best.is_none() || status.soaked_ms.is_some() || status.clear.is_some() {
            best = Some(status);
        }
    }
    best.ok_or_else(|| fail(UNANSWERED, "no node gave an answer"))
}

fn read(answer: &Answer) -> Option<Status> {
    (answer.status == 200)
        .then(|| serde_json::from_value(answer.body.clone()).ok())
        .flatten()
}

async fn order(cli: &Cli, client: &Client, order: &str) -> ExitCode {
    let path = format!("/rollout/{order}");
    let answer = client.ask(Method::POST, &path, None).await;
    if let Err(code) = accepted(answer, "rollouts") {
        return code;
    }
    match cli.json {
        true => println!("{}", json!({"ordered": order})),
        false => println!("ordered: {order}"),
    }
    ExitCode::SUCCESS
}

async fn step_down(cli: &Cli, client: &Client, node: &str) -> ExitCode {
    let answers = client.ask_each("/rollout").await;
    let names = answers
        .iter()
        .map(|answer| Some(read(answer.as_ref()?)?.node));
    let Some(at) = names
        .into_iter()
        .position(|name| name.as_deref() == Some(node))
    else {
        return fail(
            UNANSWERED,
            &format!("{node} does not answer at any address given"),
        );
    };
    order(cli, &client.only(at), "step-down").await
}

fn generation(status: &Status) -> String {
    match status.stage {
        Stage::Settled => format!("{} settled", status.from),
        stage => format!("{} to {}, {stage}", status.from, status.to),
    }
}

fn state(node: &NodeStatus) -> &'static str {
    match (node.gone, node.here, node.leads) {
        (true, _, _) => "forgotten",
        (_, false, _) => "away",
        (_, true, true) => "leads",
        _ => "here",
    }
}

fn show(cli: &Cli, status: &Status) -> ExitCode {
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
            state(node),
            node.build.as_deref().unwrap_or("unknown"),
            format!("{}-{}", node.least, node.most),
            node.features.join(" ")
        );
    }
    println!("generation: {}", generation(status));
    if !status.enabled {
        println!(
            "rollouts are off at {}: start the nodes with --rollout FILE",
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
        println!("to the end: about {} s", rest.as_secs());
    }
    ExitCode::SUCCESS
}

fn next(cli: &Cli, status: &Status, build: Option<&str>) -> ExitCode {
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
        Err(why) => fail(REFUSED, &format!("none now: {why}")),
    }
}

fn plan(cli: &Cli, status: &Status, build: Option<&str>) -> ExitCode {
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
