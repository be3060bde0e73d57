#!/usr/bin/env bash
# Benchmarks: bench.sh policy [--seed 1..20] | control [--routers 9,50,200,950] | decide
set -euo pipefail
cd "$(dirname "$0")/.."
what=${1:?which benchmark: policy, control, decide}
shift
cargo build --release --quiet --locked -p kwg-bench
exec target/release/kwg-bench "$what" "$@"
