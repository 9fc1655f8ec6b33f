#!/usr/bin/env bash
# Plays the case and writes review/1/record.txt; TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
record=review/1/record.txt
program=target/review/release/lagoonproxy-review
: >"$record" || exit 2
for needed in "$program" target/host/lagoon-packet; do
    [[ -x $needed ]] || { echo "$needed is not built" | tee "$record"; exit 2; }
done
"$program" hosts-added >"$record" 2>&1 &
child=$!
trap 'kill "$child" 2>/dev/null; wait "$child"; exit 2' TERM INT
wait "$child"
code=$?
tail -n 1 "$record"
((code <= 1)) || exit 2
exit "$code"
