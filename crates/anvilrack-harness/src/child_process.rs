//! One process of a deployment.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use eyre::{WrapErr, eyre};
use rustix::process::{Pid, Signal, kill_process};

/// A process that ends with this value.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
    log: PathBuf,
}

impl ChildProcess {
    /// Starts one of the project's binaries; its log goes to a file in `dir`.
    ///
    /// # Errors
    ///
    /// Where the binary is not built or cannot be started.
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

    /// The process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process at once, as a lost VM would.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Freezes the process.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a frozen process go on.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to stop gracefully.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits until the process has ended.
    ///
    /// # Errors
    ///
    /// Where the process cannot be waited for.
    pub fn wait(&mut self) -> eyre::Result<ExitStatus> {
        Ok(self.child.wait()?)
    }

    /// True while the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Everything the process has logged so far.
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

/// Binaries stand beside the folder of the test that runs.
fn binary_path(binary: &str) -> eyre::Result<PathBuf> {
    let test = std::env::current_exe()?;
    let found = test
        .ancestors()
        .map(|dir| dir.join(binary))
        .find(|path| path.is_file());
    found.ok_or_else(|| eyre!("{binary} is not built; run `cargo build --workspace --bins`"))
}
