//! The command-line flags of `anvilrack-bench`.

use std::path::PathBuf;

xflags::xflags! {
    /// Measures how costs grow with size, and how policies perform under load.
    cmd anvilrack-bench {
        /// Measure all slopes, or one group of them.
        cmd slopes {
            /// Measure only this group of slopes.
            optional --only group: String
            /// Write the points and the fitted lines to this file, as JSON.
            optional --json file: PathBuf
            /// Write a plot of each slope to this folder, as SVG.
            optional --svg dir: PathBuf
        }
        /// Print the tables of the capacity page from a file written by `slopes --json`.
        cmd capacity {
            /// File written by `slopes --json`.
            required json: PathBuf
        }
        /// Run a deployment for each load shape under that shape's load.
        cmd shapes {
            /// Run only this load shape: roteiro-comum or lenaverde.
            optional --shape name: String
            /// Rates as multiples of the targets' capacity, separated by commas; default 0.5,1,2,4.
            optional --factors factors: String
            /// Duration of each load, in milliseconds; default 3000.
            optional --duration-ms ms: u64
            /// Kill one router after 30 % of each load.
            optional --router-lost
            /// Number of keys of each service; fewer keys show shorter gaps between responses.
            optional --keys keys: u32
            /// Fields to add to each router's settings, as JSON.
            optional --settings json: String
            /// Write the rows of the table to this file, as JSON.
            optional --json file: PathBuf
            /// Write a goodput plot of each load shape to this folder, as SVG.
            optional --svg dir: PathBuf
        }
        /// Compare two folders of binaries, or two settings, in alternating rounds.
        cmd pair {
            /// Folder with the binaries before the change.
            required --before dir: PathBuf
            /// Folder with the binaries after the change; may be the same folder.
            required --after dir: PathBuf
            /// Fields to add to the routers' settings before the change, as JSON.
            optional --before-settings json: String
            /// Fields to add to the routers' settings after the change, as JSON.
            optional --after-settings json: String
            /// Number of rounds; default 3.
            optional --rounds rounds: usize
            /// Run only this load shape.
            optional --shape name: String
            /// Rates as multiples of the targets' capacity, separated by commas; default 0.5,1,2,4.
            optional --factors factors: String
            /// Duration of each load, in milliseconds; default 3000.
            optional --duration-ms ms: u64
            /// Kill one router after 30 % of each load.
            optional --router-lost
        }
    }
}
