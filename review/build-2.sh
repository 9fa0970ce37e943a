#!/usr/bin/env bash
# Builds the stand-ins of the second review; they use nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -D warnings -o target/review-2/standin review/standin-2/main.rs
