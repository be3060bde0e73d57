#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the review, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/lab/Cargo.toml --target-dir target/review
