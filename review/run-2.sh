#!/usr/bin/env bash
# Runs a case of the second review: run-2.sh CASE FOLDER. It needs the build of the deploy file and
# review/build-2.sh, and ends all processes that the driver started.
set -uo pipefail
cd "$(dirname "$0")/.."
driver=target/review-2/release/review-standin-2
if [ ! -x "$driver" ] || [ ! -x target/release/savoryvane ]; then
    echo "build the deploy file and review/build-2.sh first" >&2
    exit 2
fi
temp=$(mktemp -d)
finish() {
    if [ -n "${pid:-}" ]; then kill -KILL "$pid" 2>/dev/null; fi
    if [ -e "$temp/processes" ]; then
        while read -r process; do
            if [ -r "/proc/$process/cmdline" ] && tr "\0" " " <"/proc/$process/cmdline" 2>/dev/null | grep -q -- "--gateway $temp"; then
                kill -KILL "$process" 2>/dev/null
            fi
        done <"$temp/processes"
    fi
    rm -rf "$temp"
}
trap finish EXIT
trap 'exit 2' INT TERM
"$driver" "$1" "$2" "$temp" &
pid=$!
wait "$pid"
code=$?
pid=
exit "$code"
