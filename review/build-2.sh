#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, without a network.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
cargo build --release --locked --offline --target-dir ../../target/review-2
