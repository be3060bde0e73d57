#!/usr/bin/env bash
# Formats, lints, builds and tests the whole workspace. The README names this command.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
cargo build --workspace --locked
# Tests that KNOWN-RED.txt lists as "test NAME" run on their own: their failure is printed and not fatal.
known_red=$(sed -n 's/^test \([a-z0-9_]*\).*/\1/p' KNOWN-RED.txt)
skips=()
for name in $known_red; do skips+=(--skip "$name"); done
cargo test --workspace --locked -- "${skips[@]}"
for name in $known_red; do
    cargo test --workspace --locked --tests --quiet -- --exact "$name" || echo "known red, failed: $name"
done
if [ -s KNOWN-RED.txt ]; then
    echo "known red, passed over:"
    cat KNOWN-RED.txt
fi
