#!/bin/sh
# Builds the stand-ins and drivers of the cases 4 to 8.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --target-dir target --manifest-path review/standin-2/Cargo.toml
