//! Processor time and resident memory of this thread, this process and other processes.

use std::fs;
use std::time::Duration;

use eyre::{WrapErr, eyre};
use rustix::time::{ClockId, clock_gettime};

/// Length of a clock tick in `/proc/PID/stat`, in milliseconds.
const TICK_MS: u64 = 10;

/// Bytes in a `kB`, the unit of memory in `/proc/PID/status`.
const BYTES_PER_KILOBYTE: u64 = 1_024;

/// Index of the user time in `/proc/PID/stat`, counted from the field after the command name in
/// parentheses; the system time follows it.
const USER_TIME_INDEX: usize = 11;

/// Returns the processor time that this thread has used.
#[must_use]
pub fn thread_cpu_time() -> Duration {
    read_clock(ClockId::ThreadCPUTime)
}

/// Returns the processor time that all threads of this process have used.
#[must_use]
pub fn process_cpu_time() -> Duration {
    read_clock(ClockId::ProcessCPUTime)
}

fn read_clock(clock: ClockId) -> Duration {
    Duration::try_from(clock_gettime(clock)).unwrap_or_default()
}

/// Returns the processor time that a process has used, with a resolution of one clock tick.
///
/// # Errors
///
/// When `/proc/PID/stat` cannot be read, for example because the process does not exist.
pub fn cpu_time_of(pid: u32) -> eyre::Result<Duration> {
    let path = format!("/proc/{pid}/stat");
    let text = fs::read_to_string(&path).wrap_err_with(|| format!("cannot read {path}"))?;
    let fields = text.rsplit(") ").next().unwrap_or_default();
    let ticks = fields.split(' ').skip(USER_TIME_INDEX).take(2);
    let ticks: u64 = ticks.filter_map(|field| field.parse::<u64>().ok()).sum();
    Ok(Duration::from_millis(ticks * TICK_MS))
}

/// Returns the resident memory of a process, in bytes.
///
/// # Errors
///
/// When `/proc/PID/status` cannot be read, for example because the process does not exist, or has
/// no valid `VmRSS` line.
pub fn resident_memory_of(pid: u32) -> eyre::Result<u64> {
    let path = format!("/proc/{pid}/status");
    let text = fs::read_to_string(&path).wrap_err_with(|| format!("cannot read {path}"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    let kilobytes: u64 = number
        .ok_or_else(|| eyre!("{path} has no VmRSS line"))?
        .parse()?;
    Ok(kilobytes * BYTES_PER_KILOBYTE)
}
