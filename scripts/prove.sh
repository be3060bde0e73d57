#!/usr/bin/env bash
# Proofs: prove.sh at-most-once | kills [--seed 1..20] | shutdown [--restarts N] | overhead
set -euo pipefail
cd "$(dirname "$0")/.."
what=${1:?which proof: at-most-once, kills, shutdown, overhead}
shift
cargo build --release --quiet --locked --workspace
case $what in
at-most-once) exec target/release/kwg-spec "$@" ;;
*) exec target/release/kwg-bench "$what" "$@" ;;
esac
