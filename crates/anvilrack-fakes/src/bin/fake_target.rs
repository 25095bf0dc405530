//! `anvilrack-fake-target`: a fake target.

use std::net::SocketAddr;
use std::time::Duration;

use anvilrack_fakes::{FakeTarget, TargetOptions};

mod flags {
    use super::SocketAddr;

    xflags::xflags! {
        /// Runs a fake target; a target is a server that owns keys.
        cmd anvilrack-fake-target {
            /// Address to listen on, as ip:port.
            required --address address: SocketAddr
            /// Service that the target belongs to.
            required --service service: String
            /// Control address of the target's router; without one the target does not announce
            /// itself.
            optional --router router: SocketAddr
            /// Maximum number of requests that run at once.
            optional --slots slots: u32
            /// Time that each request takes to run, in microseconds.
            optional --service-us us: u64
            /// Time until the target announces that it is ready, in milliseconds.
            optional --cold-start-ms ms: u64
            /// Refuse requests with an older fencing token or an expired lease.
            optional --checks-fence
        }
    }
}

fn main() -> eyre::Result<()> {
    env_logger::init();
    let flags = flags::AnvilrackFakeTarget::from_env_or_exit();
    let options = TargetOptions {
        address: flags.address,
        router: flags.router,
        service: flags.service,
        slots: flags.slots.unwrap_or(12),
        service_time: Duration::from_micros(flags.service_us.unwrap_or(1_000)),
        checks_fence: flags.checks_fence,
        cold_start: Duration::from_millis(flags.cold_start_ms.unwrap_or(0)),
    };
    FakeTarget::new(options).run()
}
