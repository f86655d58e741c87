#!/usr/bin/env bash
# Memory and processor time of an entry and an agent that serve nothing, for
# 20 s, over loopback. Needs the release programs and curl:
#   cargo build --release --bins && components/entry/examples/idle.sh
# PROGRAMS names their directory. Ends only the processes that it started.
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

ticks() {
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

entry_before=$(ticks "$entry")
agent_before=$(ticks "$agent")
sleep "$seconds"
hertz=$(getconf CLK_TCK)
show() {
  awk -v name="$1" -v used="$2" -v hertz="$hertz" -v seconds="$seconds" '
    /^VmRSS|^Threads/ { values = values " " $1 " " $2 }
    END { printf "%s: %.2f%% of a core,%s\n", name, 100 * used / hertz / seconds, values }' \
    "/proc/$3/status"
}
show entry $(($(ticks "$entry") - entry_before)) "$entry"
show agent $(($(ticks "$agent") - agent_before)) "$agent"
