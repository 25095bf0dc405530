//! A child process of a test deployment.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use eyre::{WrapErr, eyre};
use rustix::process::{Pid, Signal, kill_process};

/// A child process, killed when this value is dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
    log: PathBuf,
}

impl ChildProcess {
    /// Starts one of the workspace's binaries. Its standard error is appended to `NAME.log` in `dir`.
    ///
    /// # Errors
    ///
    /// Returns an error if the binary is not built or the process cannot be started.
    pub fn start(binary: &str, name: &str, arguments: &[String], dir: &Path) -> eyre::Result<Self> {
        let log = dir.join(format!("{name}.log"));
        let output = File::options().create(true).append(true).open(&log)?;
        let path = binary_path(binary)?;
        let child = Command::new(&path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(output)
            .spawn()
            .wrap_err_with(|| format!("cannot start {}", path.display()))?;
        Ok(Self { child, log })
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process with SIGKILL, as if its VM were lost.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends the process with SIGSTOP.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process with SIGTERM to stop gracefully.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits until the process has exited.
    ///
    /// # Errors
    ///
    /// Returns an error if waiting for the process fails.
    pub fn wait(&mut self) -> eyre::Result<ExitStatus> {
        Ok(self.child.wait()?)
    }

    /// Returns whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns everything that the process has logged so far.
    #[must_use]
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.resume();
        self.kill();
    }
}

/// Finds a binary in one of the folders above the running test's executable.
fn binary_path(binary: &str) -> eyre::Result<PathBuf> {
    let current_exe = std::env::current_exe()?;
    let found = current_exe
        .ancestors()
        .map(|dir| dir.join(binary))
        .find(|path| path.is_file());
    found.ok_or_else(|| eyre!("binary {binary} not found; run `cargo build --workspace --bins`"))
}
