#!/usr/bin/env bash
# Proofs: prove.sh at-most-once | leases | kills [--seed 1..20] | shutdown [--restarts N] |
#         moves [--seed 1..200] | overhead
set -euo pipefail
cd "$(dirname "$0")/.."
what=${1:?which proof, see the head of this file}
shift
cargo build --release --quiet --locked --workspace
case $what in
at-most-once) exec target/release/kwg-spec tickets "$@" ;;
leases) exec target/release/kwg-spec leases "$@" ;;
*) exec target/release/kwg-bench "$what" "$@" ;;
esac
