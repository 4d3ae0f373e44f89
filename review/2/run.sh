#!/bin/bash
# Plays the scenario last-keys and writes record.txt beside this file. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disturbance out.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
standin=target/review/release/review-standin
for program in target/release/savoryvane "$standin"; do
  if [ ! -x "$program" ]; then
    echo "$program is missing: build as deploy/system.toml says, and run review/build.sh"
    exit 2
  fi
done
REVIEW_TMP="$(mktemp -d)" || exit 2
export REVIEW_TMP

# Ends what this script started: the stand-in, and the instances that it left behind.
clean_up() {
  kill "$pid" 2>/dev/null
  if [ -f "$REVIEW_TMP/pids" ]; then
    while read -r instance; do
      if grep -qs "$REVIEW_TMP" "/proc/$instance/cmdline"; then
        kill -9 "$instance" 2>/dev/null
      fi
    done <"$REVIEW_TMP/pids"
  fi
  rm -rf "$REVIEW_TMP"
}

"$standin" last-keys "$folder/record.txt" &
pid=$!
trap clean_up EXIT
trap 'exit 2' INT TERM
wait "$pid"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
