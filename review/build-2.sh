#!/bin/sh
# Builds the stand-ins of cases 6 to 10. Needs no network: the crate has no dependencies.
set -eu
cd "$(dirname "$0")/rig-2"
cargo build --release --locked --offline
