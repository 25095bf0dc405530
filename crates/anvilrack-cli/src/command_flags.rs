//! The command line of `anvilrack`.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Checks and applies configurations, and shows what the routers do.
    cmd anvilrack {
        /// Check a configuration file by itself.
        cmd check {
            /// The file, JSON with comments.
            required file: PathBuf
        }
        /// Apply a configuration file as a whole, or not at all.
        cmd apply {
            /// The file, JSON with comments.
            required file: PathBuf
            /// The platform's store, as ip:port.
            required --store store: SocketAddr
            /// The revision that the file was made from; not needed for the first one.
            optional --from revision: u64
        }
        /// Show the configuration in force.
        cmd show {
            /// The platform's store, as ip:port.
            required --store store: SocketAddr
        }
        /// Show what a router knows.
        cmd status {
            /// Control address of any router, as ip:port.
            required --router router: SocketAddr
            /// Print JSON.
            optional --json
        }
        /// Show who owns a key, and why.
        cmd explain {
            /// The service.
            required service: String
            /// The key.
            required key: String
            /// Control address of any router, as ip:port.
            required --router router: SocketAddr
            /// Print JSON.
            optional --json
        }
        /// Tell a request's way from the logs of the routers, and the cause of its end.
        cmd trace {
            /// The request's id.
            required request: String
            /// Log files; standard input where there are none.
            repeated logs: PathBuf
        }
        /// Ask a router to give its shards to others and to take no new work.
        cmd drain {
            /// Control address of that router, as ip:port.
            required --router router: SocketAddr
        }
    }
}
