#!/usr/bin/env bash
# Runs the whole system under random faults for some minutes, for example:
#
#   ./scripts/soak.sh --minutes 10 --seed 1
#
# At the end prints a table of outcomes, violated guarantees and recovery times; exits 0 if no
# guarantee was violated.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --workspace --bins --locked
exec target/debug/mustard-soak "$@"
