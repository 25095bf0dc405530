//! Command-line flags of `anvilrack`.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Checks and applies configurations, and reports the state of the routers.
    cmd anvilrack {
        /// Check a configuration file without applying it.
        cmd check {
            /// The file, JSON with comments.
            required file: PathBuf
        }
        /// Apply a configuration file, either completely or not at all.
        cmd apply {
            /// The file, JSON with comments.
            required file: PathBuf
            /// The platform's store, as ip:port.
            required --store store: SocketAddr
            /// The revision that the file is based on; not needed for the first configuration.
            optional --from revision: u64
        }
        /// Show the configuration in force.
        cmd show {
            /// The platform's store, as ip:port.
            required --store store: SocketAddr
        }
        /// Show a router's state and the cells that it knows.
        cmd status {
            /// Control address of any router, as ip:port.
            required --router router: SocketAddr
            /// Print JSON.
            optional --json
        }
        /// Show which router owns a key, and why.
        cmd explain {
            /// Name of the service.
            required service: String
            /// Key to look up.
            required key: String
            /// Control address of any router, as ip:port.
            required --router router: SocketAddr
            /// Print JSON.
            optional --json
        }
        /// Show which routers handled a request, and the cause of its outcome, from their logs.
        cmd trace {
            /// Id of the request.
            required request: String
            /// Log files; standard input if none are given.
            repeated logs: PathBuf
        }
        /// Ask a router to move its shards to others and to accept no new work.
        cmd drain {
            /// Control address of the router to drain, as ip:port.
            required --router router: SocketAddr
        }
    }
}
