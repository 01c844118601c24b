#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. The project's programs are built by the command
# of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-3/Cargo.toml \
    --target-dir target/review-3
