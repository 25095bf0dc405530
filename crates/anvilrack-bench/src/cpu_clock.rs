//! Processor time and memory, of this thread and of other processes.

use std::fs;
use std::time::Duration;

use eyre::{WrapErr, eyre};
use rustix::time::{ClockId, clock_gettime};

/// Length of a tick in `/proc/PID/stat`, in milliseconds.
const TICK_MS: u64 = 10;

/// Bytes in the unit that `/proc/PID/status` counts memory in.
const KILOBYTE: u64 = 1_024;

/// Places of user and system time in `/proc/PID/stat`, counted after the name in brackets.
const USER_FIELD: usize = 11;

/// Processor time that this thread has used.
#[must_use]
pub fn thread_cpu() -> Duration {
    read_clock(ClockId::ThreadCPUTime)
}

/// Processor time that all threads of this process have used.
#[must_use]
pub fn process_cpu() -> Duration {
    read_clock(ClockId::ProcessCPUTime)
}

fn read_clock(clock: ClockId) -> Duration {
    Duration::try_from(clock_gettime(clock)).unwrap_or_default()
}

/// Processor time that a process has used, to the tick.
///
/// # Errors
///
/// Where there is no such process.
pub fn cpu_of(pid: u32) -> eyre::Result<Duration> {
    let path = format!("/proc/{pid}/stat");
    let text = fs::read_to_string(&path).wrap_err_with(|| format!("cannot read {path}"))?;
    let fields = text.rsplit(") ").next().unwrap_or_default();
    let ticks = fields.split(' ').skip(USER_FIELD).take(2);
    let ticks: u64 = ticks.filter_map(|field| field.parse::<u64>().ok()).sum();
    Ok(Duration::from_millis(ticks * TICK_MS))
}

/// Memory that a process holds, in bytes.
///
/// # Errors
///
/// Where there is no such process.
pub fn memory_of(pid: u32) -> eyre::Result<u64> {
    let path = format!("/proc/{pid}/status");
    let text = fs::read_to_string(&path).wrap_err_with(|| format!("cannot read {path}"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    let kilobytes: u64 = number
        .ok_or_else(|| eyre!("{path} tells no VmRSS"))?
        .parse()?;
    Ok(kilobytes * KILOBYTE)
}
