#!/usr/bin/env bash
# Builds the stand-ins and drivers of the second review's cases. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
