//! Which node may be restarted now without harm.

use crate::{generation::Stage, view::Status};

/// The way from here to all nodes of a build and the newest generation, in words.
pub fn plan(status: &Status, build: Option<&str>) -> Vec<String> {
    let mut steps = Vec::new();
    let counted = || status.nodes.iter().filter(|node| !node.gone);
    for node in counted().filter(|node| !node.here) {
        steps.push(format!("bring {} back, or forget it", node.node));
    }
    let mut due: Vec<_> = counted()
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
        Stage::Settled => counted().map(|node| node.most).max().unwrap_or(status.from),
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
                    "generation {to} soaks for {soak} s with all nodes here"
                ));
                steps.push(format!(
                    "generation {to} is written, old records are rewritten"
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

/// Why none may.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NotNow {
    /// A node that counts is not here.
    #[error("{0} is away")]
    Away(String),
    /// No node that counts leads.
    #[error("no leader is known")]
    NoLeader,
    /// Only the leader knows enough to tell.
    #[error("the answer did not come from the leader")]
    NotTheLeader,
    /// Some of the machines are out of reach.
    #[error("the leader does not hear all of its machines")]
    Outlook,
    /// A restart would delay the rewriting.
    #[error("old records are being rewritten")]
    Migrating,
    /// Nothing is left to restart.
    #[error("every node is of build {0} already")]
    Done(String),
}

/// The node to restart next, given the build that all are to be of; by the leader's status.
///
/// One node at a time, and so one zone: while any is away none may. The leader comes last,
/// so that the leadership changes hands once. With no build named, those of an older build
/// than the leader's come first, and then whichever; the caller stops where it began.
pub fn next(status: &Status, build: Option<&str>) -> Result<String, NotNow> {
    let counted = || status.nodes.iter().filter(|node| !node.gone);
    let leader = counted().find(|node| node.leads).ok_or(NotNow::NoLeader)?;
    if leader.node != status.node {
        return Err(NotNow::NotTheLeader);
    }
    if let Some(away) = counted().find(|node| !node.here) {
        return Err(NotNow::Away(away.node.clone()));
    }
    if status.clear != Some(true) {
        return Err(NotNow::Outlook);
    }
    if matches!(status.stage, Stage::Active | Stage::Migrating) {
        return Err(NotNow::Migrating);
    }
    let wanted = |found: &Option<String>| build.is_none_or(|build| found.as_deref() != Some(build));
    let mut due: Vec<_> = counted().filter(|node| wanted(&node.build)).collect();
    due.sort_by_key(|node| (node.leads, node.most, &node.zone, &node.node));
    match due.first() {
        Some(node) => Ok(node.node.clone()),
        None => Err(NotNow::Done(build.unwrap_or_default().to_owned())),
    }
}
