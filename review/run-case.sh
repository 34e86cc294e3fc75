#!/bin/sh
# run-case.sh CASE FOLDER: plays a case in a temporary folder. It exits with 1 if the rule was broken, 0 if it held, 2 if
# the case could not run. TROUBLE=0 leaves the disruption out.
set -u
review=$(cd "$(dirname "$0")" && pwd)
root=$(dirname "$review")
rig=$review/rig/target/release/review-rig
if [ ! -x "$rig" ] || [ ! -x "$root/target/release/cache-router" ]; then
    echo "run the build of deploy/balancer.toml and review/build.sh first" >&2
    exit 2
fi
tmp=$(mktemp -d) || exit 2
"$rig" "$1" "$root" "$2" "$tmp" "${TROUBLE:-1}" &
pid=$!
end_all() {
    kill "$pid" 2>/dev/null
    [ -f "$tmp/pids" ] && kill -KILL $(cat "$tmp/pids") 2>/dev/null
    rm -rf "$tmp"
    exit 2
}
trap end_all HUP INT TERM
wait "$pid"
code=$?
[ "$code" -le 2 ] || end_all
rm -rf "$tmp"
exit "$code"
