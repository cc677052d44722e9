//! What the kernel says of a process and of the machine.

use serde::{Deserialize, Serialize};

/// Linux counts processor time in hundredths of a second towards user space.
const TICKS_PER_SECOND: f64 = 100.0;
/// Fields of `stat` after the process's name: user and system time.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;

/// One look at a process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ProcessSample {
    /// Processor time used so far, in seconds.
    pub cpu_s: f64,
    /// Memory in use, in kB.
    pub resident_kb: u64,
    /// The most memory that was in use, in kB.
    pub peak_resident_kb: u64,
    /// Open sockets.
    pub sockets: usize,
}

/// The process as it is now, or none if it has ended.
pub fn sample(pid: u32) -> Option<ProcessSample> {
    let read = |name: &str| std::fs::read_to_string(format!("/proc/{pid}/{name}")).ok();
    let status = read("status")?;
    Some(ProcessSample {
        cpu_s: cpu_seconds(&read("stat")?)?,
        resident_kb: kilobytes(&status, "VmRSS:").unwrap_or(0),
        peak_resident_kb: kilobytes(&status, "VmHWM:").unwrap_or(0),
        sockets: sockets(pid),
    })
}

/// Processor time from the text of `/proc/PID/stat`.
pub fn cpu_seconds(stat: &str) -> Option<f64> {
    // The name is in brackets and may hold spaces.
    let (_, after_name) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index)?.parse::<u64>().ok();
    Some((ticks(USER_TIME)? + ticks(SYSTEM_TIME)?) as f64 / TICKS_PER_SECOND)
}

/// A value of `/proc/PID/status` or `/proc/meminfo`.
pub fn kilobytes(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find(|line| line.starts_with(name))?;
    line[name.len()..].split_whitespace().next()?.parse().ok()
}

fn sockets(pid: u32) -> usize {
    let Ok(entries) = std::fs::read_dir(format!("/proc/{pid}/fd")) else {
        return 0;
    };
    let links = entries.filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok());
    links
        .filter(|link| link.to_string_lossy().starts_with("socket:"))
        .count()
}

/// Memory of the machine in kB.
pub fn machine_memory_kb() -> Option<u64> {
    kilobytes(&std::fs::read_to_string("/proc/meminfo").ok()?, "MemTotal:")
}

/// Memory that is free to be used, in kB.
pub fn available_memory_kb() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    kilobytes(&text, "MemAvailable:")
}

/// Processes that were runnable on average over the last minute.
pub fn load_average() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/loadavg").ok()?;
    text.split_whitespace().next()?.parse().ok()
}
