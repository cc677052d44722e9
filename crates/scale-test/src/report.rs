//! Report on several runs: a table of runs and a table of fitted slopes.

use std::fmt::Write;

use crate::{
    fit::{Line, Point, fit},
    result::RunResult,
};

/// Number of points that a line always fits exactly, so that its error has no meaning.
const TWO_POINTS: usize = 2;

/// Independent variable of the fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Axis {
    /// Number of workers in the fleet.
    Workers,
    /// Measured task starts per second.
    StartsPerSecond,
}

impl Axis {
    fn value(self, result: &RunResult) -> f64 {
        match self {
            Self::Workers => result.config.fleet.workers as f64,
            Self::StartsPerSecond => result.tasks.starts_per_s,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Workers => "workers",
            Self::StartsPerSecond => "starts a second",
        }
    }
}

/// Measured quantity.
pub struct Measure {
    /// Title with unit.
    pub name: &'static str,
    /// Returns its value in a result.
    pub value: fn(&RunResult) -> f64,
}

const MEASURES: &[Measure] = &[
    Measure {
        name: "starts a second",
        value: |r| r.tasks.starts_per_s,
    },
    Measure {
        name: "tasks running",
        value: |r| r.tasks.running as f64,
    },
    Measure {
        name: "leader: cores",
        value: |r| r.leader.cores,
    },
    Measure {
        name: "leader: peak memory, MB",
        value: |r| r.leader.peak_resident_mb,
    },
    Measure {
        name: "leader: sockets",
        value: |r| r.leader.sockets,
    },
    Measure {
        name: "other controller: cores",
        value: |r| r.followers.map_or(f64::NAN, |f| f.cores),
    },
    Measure {
        name: "other controller: peak memory, MB",
        value: |r| r.followers.map_or(f64::NAN, |f| f.peak_resident_mb),
    },
    Measure {
        name: "other controller: sockets",
        value: |r| r.followers.map_or(f64::NAN, |f| f.sockets),
    },
    Measure {
        name: "state: requests a second",
        value: |r| r.state.requests_per_s,
    },
    Measure {
        name: "state: changes a second",
        value: |r| r.state.changes_per_s,
    },
    Measure {
        name: "state: bytes in a second",
        value: |r| r.state.bytes_received_per_s,
    },
    Measure {
        name: "state: bytes out a second",
        value: |r| r.state.bytes_sent_per_s,
    },
    Measure {
        name: "state: keys at the end",
        value: |r| r.state.keys as f64,
    },
    Measure {
        name: "state: bytes stored at the end",
        value: |r| r.state.bytes as f64,
    },
    Measure {
        name: "state: bytes of the largest value",
        value: |r| r.state.largest_value as f64,
    },
    Measure {
        name: "cloud: requests a second",
        value: |r| r.cloud.requests_per_s,
    },
    Measure {
        name: "cloud: bytes a second",
        value: |r| r.cloud.bytes_per_s,
    },
    Measure {
        name: "reports a second",
        value: |r| r.workers.reports_per_s,
    },
    Measure {
        name: "direct commands a second",
        value: |r| r.workers.direct_commands_per_s,
    },
    Measure {
        name: "all workers: bytes a second",
        value: |r| r.workers.bytes_per_s,
    },
    Measure {
        name: "a worker: bytes sent a second",
        value: |r| r.workers.bytes_sent_per_worker_s,
    },
    Measure {
        name: "a worker: bytes received a second",
        value: |r| r.workers.bytes_received_per_worker_s,
    },
    Measure {
        name: "users: submissions a second",
        value: |r| r.users.submissions_per_s,
    },
    Measure {
        name: "users: polls a second",
        value: |r| r.users.polls_per_s,
    },
    Measure {
        name: "users: bytes a second",
        value: |r| r.users.bytes_per_s,
    },
    Measure {
        name: "harness: cores",
        value: |r| r.harness.cores,
    },
    Measure {
        name: "harness: peak memory, MB",
        value: |r| r.harness.peak_resident_mb,
    },
];

/// Returns a table of runs and a table of slopes, in Markdown; `target` adds a column with the
/// value of each line at that point.
pub fn report(results: &[RunResult], axis: Axis, target: Option<f64>) -> String {
    let mut sorted: Vec<&RunResult> = results.iter().collect();
    sorted.sort_by(|one, other| axis.value(one).total_cmp(&axis.value(other)));
    let mut text = runs_table(&sorted);
    text.push('\n');
    text.push_str(&slopes_table(&sorted, axis, target));
    text
}

/// Returns a table with the load and the results of each run.
pub fn runs_table(results: &[&RunResult]) -> String {
    let mut text = String::from(
        "| run | workers | starts asked a second | started | running | urgent p50 s | p99 s | \
         max s | other p50 s | p99 s | submit p99 s | state requests | changes | refused | \
         leader cores | accepted jobs | done | broken rules | load average |\n",
    );
    text.push_str(&format!("|{}\n", " --- |".repeat(19)));
    for result in results {
        let urgent = &result.tasks.urgent_start;
        let other = &result.tasks.other_start;
        let _ = writeln!(
            text,
            "| {} | {} | {:.1} | {:.1} | {} | {:.3} | {:.3} | {:.3} | {:.2} | {:.2} | {:.3} | \
             {:.1} | {:.1} | {:.1} | {:.3} | {} | {} | {} | {:.1} to {:.1} |",
            result.config.name,
            result.config.fleet.workers,
            result.tasks.asked_starts_per_s,
            result.tasks.starts_per_s,
            result.tasks.running,
            urgent.p50_s,
            urgent.p99_s,
            urgent.max_s,
            other.p50_s,
            other.p99_s,
            result.users.submit_latency.p99_s,
            result.state.requests_per_s,
            result.state.changes_per_s,
            result.state.refused_per_s,
            result.leader.cores,
            result.jobs.accepted,
            result.jobs.done,
            result.violations.len(),
            result.load_average_before,
            result.load_average_after,
        );
    }
    text
}

fn slopes_table(results: &[&RunResult], axis: Axis, target: Option<f64>) -> String {
    let per = axis.name();
    let mut text = format!("| measure | slope for 1,000 {per} | offset | largest error |");
    if let Some(target) = target {
        let _ = write!(text, " at {target} |");
    }
    text.push_str("\n| --- | --- | --- | --- |");
    text.push_str(if target.is_some() { " --- |\n" } else { "\n" });
    for measure in MEASURES {
        let points: Vec<Point> = results
            .iter()
            .map(|result| Point {
                x: axis.value(result),
                y: (measure.value)(result),
            })
            .filter(|point| point.y.is_finite())
            .collect();
        if let Some(line) = fit(&points) {
            let error = match points.len() {
                TWO_POINTS => "two points".to_owned(),
                _ => rounded(line.largest_error),
            };
            text.push_str(&slope_row(measure.name, &line, &error, target));
        }
    }
    text
}

fn slope_row(name: &str, line: &Line, error: &str, target: Option<f64>) -> String {
    let mut row = format!(
        "| {name} | {} | {} | {error} |",
        rounded(line.slope * 1000.0),
        rounded(line.offset),
    );
    if let Some(target) = target {
        let _ = write!(row, " {} |", rounded(line.at(target)));
    }
    row.push('\n');
    row
}

/// Formats a value with about three significant digits.
fn rounded(value: f64) -> String {
    match value.abs() {
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        size if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}
