#!/usr/bin/env bash
# Builds the stand-ins and drivers of all review cases into target/release.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --target-dir target --manifest-path review/standin/Cargo.toml
