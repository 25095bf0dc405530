//! `anvilrack-fake-store`: a fake of the platform's store.

use std::net::SocketAddr;

use anvilrack_fakes::FakeStore;

mod flags {
    use super::SocketAddr;

    xflags::xflags! {
        /// Runs a fake of the platform's key-value store.
        cmd anvilrack-fake-store {
            /// Address to listen on, as ip:port.
            required --address address: SocketAddr
        }
    }
}

fn main() -> eyre::Result<()> {
    env_logger::init();
    let flags = flags::AnvilrackFakeStore::from_env_or_exit();
    FakeStore::default().run(flags.address)
}
