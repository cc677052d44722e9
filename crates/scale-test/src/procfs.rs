//! Resource usage of a process and of the machine, read from procfs.

use serde::{Deserialize, Serialize};

/// Clock ticks per second (`USER_HZ`), in which Linux reports processor time.
const TICKS_PER_SECOND: f64 = 100.0;
/// Indexes of user and system time in the fields of `stat` after the process name.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;

/// Resource usage of a process at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ProcessSample {
    /// Processor time used since its start, in seconds.
    pub cpu_s: f64,
    /// Resident memory, in kB.
    pub resident_kb: u64,
    /// Peak of the resident memory, in kB.
    pub peak_resident_kb: u64,
    /// Number of open sockets.
    pub sockets: usize,
}

/// Returns the resource usage of a process, or `None` if it has ended.
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

/// Returns the processor time in the text of `/proc/PID/stat`, in seconds.
pub fn cpu_seconds(stat: &str) -> Option<f64> {
    // The process name is in parentheses and may contain spaces and parentheses.
    let (_, after_name) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index)?.parse::<u64>().ok();
    Some((ticks(USER_TIME)? + ticks(SYSTEM_TIME)?) as f64 / TICKS_PER_SECOND)
}

/// Returns a value in kB from the text of `/proc/PID/status` or `/proc/meminfo`.
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

/// Returns the total memory of the machine, in kB.
pub fn machine_memory_kb() -> Option<u64> {
    kilobytes(&std::fs::read_to_string("/proc/meminfo").ok()?, "MemTotal:")
}

/// Returns the available memory of the machine, in kB.
pub fn available_memory_kb() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    kilobytes(&text, "MemAvailable:")
}

/// Returns the load average over the last minute.
pub fn load_average() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/loadavg").ok()?;
    text.split_whitespace().next()?.parse().ok()
}
