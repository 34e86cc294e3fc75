#!/bin/sh
# Builds the stand-ins that the cases start. The programs in service come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/rig"
exec cargo build --release --locked --offline
