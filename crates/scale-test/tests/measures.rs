//! Tests of line fits, percentiles, and the parsing of procfs.

use std::time::Duration;

use kiteyard_scale_test::{
    fit::{Point, fit},
    latency::Latencies,
    procfs,
    report::{Axis, report},
    result::RunResult,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

/// Returns the sum of squared residuals of a line.
fn squared_residuals(points: &[Point], slope: f64, offset: f64) -> f64 {
    let errors = points
        .iter()
        .map(|point| point.y - slope * point.x - offset);
    errors.map(|error| error * error).sum()
}

/// Fits a line by search, on a grid that becomes ever finer.
fn search_fit(points: &[Point]) -> (f64, f64) {
    let (mut slope, mut offset, mut step) = (0.0, 0.0, 8.0);
    while step > 1e-7 {
        let steps = [-step, 0.0, step];
        let candidates = steps
            .iter()
            .flat_map(|dx| steps.iter().map(move |dy| (slope + dx, offset + dy)));
        let best = candidates
            .min_by(|one, other| {
                let (one, other) = (
                    squared_residuals(points, one.0, one.1),
                    squared_residuals(points, other.0, other.1),
                );
                one.total_cmp(&other)
            })
            .expect("nine candidates");
        if best == (slope, offset) {
            step /= 2.0;
        }
        (slope, offset) = best;
    }
    (slope, offset)
}

#[test]
fn the_fit_agrees_with_a_search() {
    let mut random = SmallRng::seed_from_u64(7);
    for _ in 0..50 {
        let (slope, offset) = (
            random.random_range(-3.0..3.0),
            random.random_range(-9.0..9.0),
        );
        let count = random.random_range(3..9);
        let points: Vec<Point> = (0..count)
            .map(|_| {
                let x: f64 = random.random_range(-2.0..2.0);
                let y = slope * x + offset + random.random_range(-0.5..0.5);
                Point { x, y }
            })
            .collect();
        let line = fit(&points).expect("distinct points");
        let expected = search_fit(&points);
        assert!(
            (line.slope - expected.0).abs() < 1e-4,
            "{line:?} {expected:?}"
        );
        assert!(
            (line.offset - expected.1).abs() < 1e-4,
            "{line:?} {expected:?}"
        );
        let errors = points
            .iter()
            .map(|point| (point.y - line.at(point.x)).abs());
        assert_eq!(line.largest_error, errors.fold(0.0, f64::max));
    }
    let point = |x, y| Point { x, y };
    assert!(fit(&[point(1.0, 2.0)]).is_none());
    assert!(fit(&[point(1.0, 2.0), point(1.0, 3.0)]).is_none());
}

#[test]
fn percentiles_agree_with_the_sorted_list() {
    let mut latencies = Latencies::default();
    for millis in (1..=1_000).rev() {
        latencies.record(Duration::from_millis(millis));
    }
    let percentiles = latencies.percentiles();
    assert_eq!(percentiles.count, 1_000);
    for (value, exact) in [
        (percentiles.p50_s, 0.5),
        (percentiles.p90_s, 0.9),
        (percentiles.p99_s, 0.99),
        (percentiles.max_s, 1.0),
    ] {
        assert!((value - exact).abs() <= exact * 0.002, "{value} {exact}");
    }
}

#[test]
fn procfs_files_are_parsed() {
    let stat = "17 (a ) name) S 1 17 17 0 -1 4194304 9 0 0 0 250 50 0 0 20 0 1 0 5 6 7";
    assert_eq!(procfs::cpu_seconds(stat), Some(3.0));
    assert_eq!(procfs::cpu_seconds("17 (short) S"), None);
    let status = "Name:\tx\nVmHWM:\t  2048 kB\nVmRSS:\t  1024 kB\n";
    assert_eq!(procfs::kilobytes(status, "VmRSS:"), Some(1024));
    assert_eq!(procfs::kilobytes(status, "VmSwap:"), None);
    let own = procfs::sample(std::process::id()).expect("this process");
    assert!(own.resident_kb > 0 && own.peak_resident_kb >= own.resident_kb);
}

#[test]
fn a_line_through_two_points_reports_no_error() {
    let results = ["cell-1000", "cell-2000", "cell-4000"].map(|name| {
        let path = format!("../../docs/capacity/{name}-workers.json");
        let text = std::fs::read_to_string(path).expect("recorded result");
        serde_json::from_str::<RunResult>(&text).expect("results of earlier builds are read")
    });
    let leader_row = |results: &[RunResult]| {
        let text = report(results, Axis::Workers, Some(13_000.0));
        let row = text
            .lines()
            .find(|line| line.starts_with("| leader: cores"));
        row.expect("a row for the leader's cores").to_owned()
    };
    assert!(leader_row(&results[..2]).contains("| two points |"));
    let row = leader_row(&results);
    let line = fit(&results.map(|result| Point {
        x: result.config.fleet.workers as f64,
        y: result.leader.cores,
    }));
    let line = line.expect("three points");
    let columns = format!("| {:.4} | {:.4} |", line.slope * 1000.0, line.offset);
    assert!(row.contains(&columns), "{row}");
}
