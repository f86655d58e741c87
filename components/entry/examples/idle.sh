#!/usr/bin/env bash
# Measures the memory and CPU time of an idle entry and agent for 20 s on
# loopback. Needs curl and the release binaries:
#   cargo build --release --bins && components/entry/examples/idle.sh
# PROGRAMS is the directory of the binaries. Ends only processes that it started.
set -euo pipefail
cd "$(dirname "$0")/../../.."

programs=${PROGRAMS:-target/release}
seconds=20
settings=$(mktemp -d)
cp examples/{platform,engine-1,entry-1,agent-engine-1}.json "$settings"
sed -i 's/:31\([0-9][0-9][0-9]\)/:29\1/g' "$settings"/*.json
started=()
trap 'kill "${started[@]}" 2>/dev/null; wait; rm -r "$settings"' EXIT

start() {
  "$@" >"$settings/$(basename "${*: -1}").log" 2>&1 &
  started+=($!)
}

cpu_ticks() {
  awk '{ print $14 + $15 }' "/proc/$1/stat"
}

start "$programs/wisteria-lab" platform --settings "$settings/platform.json"
start "$programs/wisteria-lab" engine --settings "$settings/engine-1.json"
sleep 1
start "$programs/wisteria-entry" --settings "$settings/entry-1.json"
entry=$!
start "$programs/wisteria-agent" --settings "$settings/agent-engine-1.json"
agent=$!
sleep 10
for port in 29011 29021; do
  curl -s -o /dev/null -w "readyz $port: %{http_code}\n" "http://127.0.0.1:$port/readyz"
done

entry_before=$(cpu_ticks "$entry")
agent_before=$(cpu_ticks "$agent")
sleep "$seconds"
hertz=$(getconf CLK_TCK)
print_usage() {
  awk -v name="$1" -v used="$2" -v hertz="$hertz" -v seconds="$seconds" '
    /^VmRSS|^Threads/ { values = values " " $1 " " $2 }
    END { printf "%s: %.2f%% of a core,%s\n", name, 100 * used / hertz / seconds, values }' \
    "/proc/$3/status"
}
print_usage entry $(($(cpu_ticks "$entry") - entry_before)) "$entry"
print_usage agent $(($(cpu_ticks "$agent") - agent_before)) "$agent"
