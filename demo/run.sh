#!/usr/bin/env bash
# Starts the demonstration as separate processes with the settings in demo/settings, runs lagoonload, and
# stops all processes at exit. Arguments are passed to lagoonload, for example --json.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --locked --release --quiet --workspace --bins
programs=target/release
settings=demo/settings
logs=$(mktemp -d)
started=()

end_all() {
    for id in "${started[@]}"; do kill -TERM "$id" 2>/dev/null || true; done
    for id in "${started[@]}"; do wait "$id" 2>/dev/null || true; done
    echo "logs: $logs" >&2
}
trap end_all EXIT

start() { # LOG_NAME PROGRAM [ARGUMENT...]
    local log="$logs/$1"
    shift
    "$@" >"$log" 2>&1 &
    started+=("$!")
}

start platform "$programs/standin-platform" --address 127.0.30.1:7100 --publish "$settings/published.yaml"
start upstreams "$programs/standin-upstream" --settings "$settings/upstreams.yaml"
for host in 1 2 3 4 5 6 7 8; do
    start "control-$host" "$programs/lagoon-control" --settings "$settings/control-$host.yaml"
    start "entry-$host" "$programs/lagoon-entry" --settings "$settings/entry-$host.yaml"
done
"$programs/lagoonload" --settings "$settings/load.yaml" "$@"
