#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, with the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -A dead_code -o target/review-2/rig review/standin-2/main.rs
