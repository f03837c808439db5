#!/bin/sh
# Builds the stand-ins that the scripts of the second review start, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/harness-2/Cargo.toml --target-dir target/review-2
