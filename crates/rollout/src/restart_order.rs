//! Selection of the next node that is safe to restart.

use crate::{generation::Stage, status::Status};

/// Returns the remaining steps, as text, until all nodes run a build and the generation is settled.
pub fn plan(status: &Status, build: Option<&str>) -> Vec<String> {
    let mut steps = Vec::new();
    let active_nodes = || status.nodes.iter().filter(|node| !node.gone);
    for node in active_nodes().filter(|node| !node.here) {
        steps.push(format!("bring {} back, or forget it", node.node));
    }
    let mut due: Vec<_> = active_nodes()
        .filter(|node| build.is_some_and(|build| node.build.as_deref() != Some(build)))
        .collect();
    due.sort_by_key(|node| (node.leads, node.most, &node.zone, &node.node));
    for node in due {
        if node.leads {
            steps.push(format!("step {} down", node.node));
        }
        steps.push(format!("restart {} ({})", node.node, node.zone));
    }
    let to = match status.stage {
        Stage::Settled => active_nodes()
            .map(|node| node.most)
            .max()
            .unwrap_or(status.from),
        _ => status.to,
    };
    let to = status.target.unwrap_or(to);
    let soak = status.soak_ms.unwrap_or(0) / 1000;
    if status.paused {
        steps.push("resume".into());
    }
    if to != status.from || status.stage != Stage::Settled {
        match status.stage {
            _ if !status.enabled => steps.push("start the nodes with --rollout FILE".into()),
            Stage::Settled | Stage::Prepared | Stage::Soaking if to > status.from => {
                steps.push(format!(
                    "generation {to} soaks for {soak} s with all nodes up"
                ));
                steps.push(format!(
                    "generation {to} is written, and old records are rewritten"
                ));
            }
            _ => steps.push(format!("old records are rewritten for generation {to}")),
        }
        steps.push(format!("generation {to} is settled"));
    }
    if steps.is_empty() {
        steps.push("nothing to do".into());
    }
    steps
}

/// Reason why no node may be restarted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RestartBlocked {
    /// A node was not heard recently.
    #[error("{0} is away")]
    NodeAbsent(String),
    /// No node is known to lead.
    #[error("no leader is known")]
    NoLeader,
    /// The status is not from the leader, which alone has the necessary information.
    #[error("the status is not from the leader")]
    NotLeader,
    /// Some machines are unreachable.
    #[error("the leader does not receive reports from all machines")]
    MachinesUnreachable,
    /// A restart would delay the rewriting of old records.
    #[error("old records are being rewritten")]
    Migrating,
    /// All nodes run the requested build.
    #[error("every node already runs build {0}")]
    AllDone(String),
}

/// Returns the node to restart next to run `build` on all nodes, given the leader's status.
///
/// One node, and so one zone, is restarted at a time: none while any node is absent. The leader
/// is restarted last, so that the leadership changes once; the others in the order of their newest
/// generation. Without a build every node is due, and the caller stops at the one it began with.
pub fn next_node(status: &Status, build: Option<&str>) -> Result<String, RestartBlocked> {
    let active_nodes = || status.nodes.iter().filter(|node| !node.gone);
    let leader = active_nodes()
        .find(|node| node.leads)
        .ok_or(RestartBlocked::NoLeader)?;
    if leader.node != status.node {
        return Err(RestartBlocked::NotLeader);
    }
    if let Some(absent) = active_nodes().find(|node| !node.here) {
        return Err(RestartBlocked::NodeAbsent(absent.node.clone()));
    }
    if status.clear != Some(true) {
        return Err(RestartBlocked::MachinesUnreachable);
    }
    if matches!(status.stage, Stage::Active | Stage::Migrating) {
        return Err(RestartBlocked::Migrating);
    }
    let needs_restart =
        |current: &Option<String>| build.is_none_or(|build| current.as_deref() != Some(build));
    let mut due: Vec<_> = active_nodes()
        .filter(|node| needs_restart(&node.build))
        .collect();
    due.sort_by_key(|node| (node.leads, node.most, &node.zone, &node.node));
    match due.first() {
        Some(node) => Ok(node.node.clone()),
        None => Err(RestartBlocked::AllDone(
            build.unwrap_or_default().to_owned(),
        )),
    }
}
