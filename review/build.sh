#!/usr/bin/env bash
# Builds the program that plays the script cases, with the project's stand-ins in it.
set -euo pipefail
cd "$(dirname "$0")/.."
exec cargo build --release --locked --manifest-path review/rig/Cargo.toml --target-dir target/review
