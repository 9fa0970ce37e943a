#!/usr/bin/env bash
# Checks the format, runs the linter, builds every program and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."

# Property tests draw the same cases in every run; set another number to draw others.
export BOLERO_RANDOM_SEED="${BOLERO_RANDOM_SEED:-1}"

cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- --deny warnings
# The process tests start the real programs, so these are built first.
cargo build --workspace --bins --locked

# Tests that are red for a known fault are listed in KNOWN-RED.txt, one "test: NAME" line each.
skips=()
if [[ -s KNOWN-RED.txt ]]; then
    while read -r name; do
        skips+=(--skip "$name")
    done < <(sed -n 's/^test: *//p' KNOWN-RED.txt)
    echo "known red, passed over:"
    cat KNOWN-RED.txt
fi
cargo test --workspace --locked --no-fail-fast -- --exact "${skips[@]}"
