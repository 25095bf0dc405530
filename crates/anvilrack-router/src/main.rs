//! The `anvilrack-router` command: reads the settings, runs the router and stops it on a signal.

use std::path::PathBuf;

use anvilrack_router::log_writer::LogWriter;
use anvilrack_router::router_process::RouterProcess;
use anvilrack_settings::RouterSettings;
use eyre::eyre;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

mod flags {
    use super::PathBuf;

    xflags::xflags! {
        /// Routes callers' requests to the owners of their keys, and guards the local target.
        cmd anvilrack-router {
            /// Settings file, JSON with comments.
            required settings: PathBuf
            /// Read and check the settings, then exit.
            optional --check
        }
    }
}

fn main() -> eyre::Result<()> {
    let writer = LogWriter::start(std::io::stderr());
    writer.install();
    let flags = flags::AnvilrackRouter::from_env_or_exit();
    let settings = RouterSettings::read(&flags.settings)?;
    if flags.check {
        return Ok(());
    }
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let process = RouterProcess::start(settings)?;
    signals
        .forever()
        .next()
        .ok_or_else(|| eyre!("the signal handler was closed before a stop signal arrived"))?;
    process.close();
    writer.close();
    Ok(())
}
