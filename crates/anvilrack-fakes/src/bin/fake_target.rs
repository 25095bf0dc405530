//! `anvilrack-fake-target`: a stand-in for a target.

use std::net::SocketAddr;
use std::time::Duration;

use anvilrack_fakes::{FakeTarget, TargetOptions};

mod flags {
    use super::SocketAddr;

    xflags::xflags! {
        /// A stand-in for a server that owns keys.
        cmd anvilrack-fake-target {
            /// Where to listen, as ip:port.
            required --address address: SocketAddr
            /// The service it belongs to.
            required --service service: String
            /// Control address of the router beside it; without one it announces itself to nobody.
            optional --router router: SocketAddr
            /// Requests it runs side by side.
            optional --slots slots: u32
            /// Time each request takes, in microseconds.
            optional --service-us us: u64
            /// Time before it says that it is ready, in milliseconds.
            optional --cold-start-ms ms: u64
            /// Refuse old fences and ended leases.
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
