#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/harness/Cargo.toml --target-dir target/review
