#!/bin/bash
# Builds the stand-ins that the review's scripts start, into target/review. Needs no network: the
# package uses the standard library only. The program itself is built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
