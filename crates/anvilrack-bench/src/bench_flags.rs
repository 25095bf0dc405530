//! The command line.

use std::path::PathBuf;

xflags::xflags! {
    /// Measures costs by size, and policies under load.
    cmd anvilrack-bench {
        /// Measure every slope, or one group of them.
        cmd slopes {
            /// Only this group.
            optional --only group: String
            /// Write the points and the lines to this file.
            optional --json file: PathBuf
            /// Write a plot of each slope to this folder.
            optional --svg dir: PathBuf
        }
        /// Print the tables of the capacity page, from a file that `slopes` wrote.
        cmd capacity {
            /// The file.
            required json: PathBuf
        }
        /// Put both deployments under the loads they are known for.
        cmd shapes {
            /// Only this shape: roteiro-comum or lenaverde.
            optional --shape name: String
            /// Rates as multiples of what the targets can do, separated by commas.
            optional --factors factors: String
            /// Length of each load, in milliseconds.
            optional --duration-ms ms: u64
            /// Kill a router a third into each load.
            optional --router-lost
            /// Keys of each service: few of them show short times without an answer.
            optional --keys keys: u32
            /// Fields for each router's settings, as JSON.
            optional --settings json: String
            /// Write the rows to this file.
            optional --json file: PathBuf
            /// Write a plot of each shape to this folder.
            optional --svg dir: PathBuf
        }
        /// Compare two folders of binaries, or two settings, in rounds that alternate.
        cmd pair {
            /// Folder of the binaries before.
            required --before dir: PathBuf
            /// Folder of the binaries after; may be the same one.
            required --after dir: PathBuf
            /// Fields for the routers' settings before, as JSON.
            optional --before-settings json: String
            /// Fields for the routers' settings after, as JSON.
            optional --after-settings json: String
            /// Rounds; three without it.
            optional --rounds rounds: usize
            /// Only this shape.
            optional --shape name: String
            /// Rates as multiples of what the targets can do, separated by commas.
            optional --factors factors: String
            /// Length of each load, in milliseconds.
            optional --duration-ms ms: u64
            /// Kill a router a third into each load.
            optional --router-lost
        }
    }
}
