#!/usr/bin/env bash
# Runs the whole path under random faults for some minutes: ./scripts/soak.sh --minutes 10 --seed 1
# Ends with a table of outcomes, broken promises and recovery times; exits 0 if no promise broke.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --workspace --bins --locked
exec target/debug/mustard-soak "$@"
