#!/bin/sh
# Builds the stand-ins of the review's scripts into the project's build folder; they use the standard library only.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked --manifest-path review/stand_ins/Cargo.toml --target-dir target/review
