#!/usr/bin/env bash
# Builds the stand-ins of the cases, with the compiler alone. The program itself is built by the
# build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/*/case.rs; do
    number="$(basename "$(dirname "$case")")"
    rustc --edition 2024 -O -o "target/review/case$number" "$case"
done
