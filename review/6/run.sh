#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/rig-2/target/release/rig-2 ] || { echo "run review/build-2.sh first" >&2; exit 2; }
[ -x target/release/cache-router ] || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
exec review/rig-2/target/release/rig-2 endless-chunks review/6/record.txt
