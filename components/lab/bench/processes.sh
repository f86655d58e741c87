#!/bin/sh
# Processor time of an entry, and memory of entry and agent, idle and with a
# thousand open streams: real processes on loopback, stand-ins around them.
# usage: processes.sh DIRECTORY-OF-PROGRAMS DIRECTORY-FOR-RESULTS
set -eu

programs=$1
out=$2
port=14200
engines=11
streams=1400
key=example-key-of-the-fitters
hash=7c7884180359753e0a0a17ebe6402f185ab3ef221a8aa043dc149698888cea88
settings=$out/settings
results=$out/processes.jsonl
started=

mkdir -p "$settings"
: > "$results"

# Ends what was started here, and nothing else.
stop() {
    for process in $started; do kill "$process" 2>/dev/null || true; done
    for process in $started; do wait "$process" 2>/dev/null || true; done
}
trap stop EXIT
trap 'exit 1' INT TERM

start() {
    "$programs/$1" $2 --settings "$settings/$3.json" > "$out/$3.log" 2>&1 &
    started="$started $!"
}

load() {
    "$programs/wisteria-lab" load --url "http://127.0.0.1:$((port + 1))" --key "$key" "$@"
}

row() {
    printf '%-10s %-28s %-28s %10s\n' processes "$1" "$2" "$3"
    printf '{"study":"processes","policy":"%s","measure":"%s","values":[%s]}\n' \
        "$1" "$2" "$3" >> "$results"
}

# Kilobytes of memory in use.
memory() { awk '/^VmRSS/ { print $2 }' "/proc/$1/status"; }

# Ticks of processor time used, by all threads.
ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }

open() { curl -s "http://127.0.0.1:$((port + 2))/dump" | grep -o '"open":[0-9]*' | cut -d: -f2; }

server() {
    # name, pool, kind, first port
    echo "{\"name\":\"$1\",\"zone\":\"z\",\"pool\":\"$2\",\"kind\":\"$3\",
        \"backend\":\"http://127.0.0.1:$4\",\"operations\":\"127.0.0.1:$(($4 + 1))\",
        \"link\":\"tcp://127.0.0.1:$(($4 + 2))\",\"peers\":[\"tcp://127.0.0.1:$((port + 3))\"],
        \"platform\":[\"http://127.0.0.1:$port\"],\"drain_ms\":1000}" > "$settings/agent-$1.json"
    hosts="$hosts,{\"name\":\"$1\",\"role\":\"server\",\"zone\":\"z\",\"pool\":\"$2\",
        \"link\":\"tcp://127.0.0.1:$(($4 + 2))\",\"state\":\"live\"}"
}

hosts="{\"name\":\"entry\",\"role\":\"entry\",\"zone\":\"z\",\"pool\":null,\"state\":\"live\",
    \"link\":\"tcp://127.0.0.1:$((port + 3))\"}"
echo "{\"name\":\"entry\",\"zone\":\"z\",\"listen\":\"127.0.0.1:$((port + 1))\",
    \"operations\":\"127.0.0.1:$((port + 2))\",\"link\":\"tcp://127.0.0.1:$((port + 3))\",
    \"peers\":[],\"platform\":[\"http://127.0.0.1:$port\"],\"linger_ms\":0,\"drain_ms\":1000}" \
    > "$settings/entry.json"
for number in $(seq $engines); do
    first=$((port + number * 10))
    server "engine-$number" chat model $first
    echo "{\"listen\":\"127.0.0.1:$first\",\"token_interval_ms\":200,\"batch_cost\":0,
        \"capacity_warm\":1000,\"warm_up_tokens\":0}" > "$settings/engine-$number.json"
done
server service booking service $((port + 5))
echo "{\"listen\":\"127.0.0.1:$((port + 5))\",\"delay_ms\":1}" > "$settings/service.json"
echo "{\"listen\":\"127.0.0.1:$port\",\"store\":{\"objects\":{
    \"route\":{\"chat\":{\"path\":\"/v1/chat/completions\",\"model\":\"stand-in\",
            \"pools\":[\"chat\"],\"idempotent\":true,\"timeout_ms\":600000},
        \"book\":{\"path\":\"/bookings\",\"pools\":[\"booking\"],\"idempotent\":false,
            \"timeout_ms\":10000}},
    \"pool\":{\"chat\":{\"kind\":\"model\",\"limit\":1000},
        \"booking\":{\"kind\":\"service\",\"limit\":64}},
    \"account\":{\"fitters\":{\"key_sha256\":\"$hash\",\"weight\":1}}},
    \"hosts\":[$hosts]}}" > "$settings/platform.json"

start wisteria-lab platform platform
start wisteria-lab service service
for number in $(seq $engines); do start wisteria-lab engine "engine-$number"; done
start wisteria-entry "" entry
entry=$!
start wisteria-agent "" agent-service
for number in $(seq $engines); do start wisteria-agent "" "agent-engine-$number"; done
agent=$!

for _ in $(seq 100); do
    ready=$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$((port + 2))/readyz" || true)
    [ "$ready" = 200 ] && break
    sleep 0.1
done
# Agents take work once the entry has sent them the tables.
sleep 3
row "entry idle" memory_kb "$(memory $entry)"
row "agent idle" memory_kb "$(memory $agent)"

rate=400
seconds=5
before=$(ticks $entry)
line=$(load --rate $rate --seconds $seconds --booking-share 1) || true
after=$(ticks $entry)
whole=$(echo "$line" | grep -o '"whole":[0-9]*' | cut -d: -f2)
sent=$(echo "$line" | grep -o '"sent":[0-9]*' | cut -d: -f2)
used=$((after - before))
row "bookings at $rate/s" sent "$sent"
row "bookings at $rate/s" whole "$whole"
row "bookings at $rate/s" entry_cpu_s "$(awk "BEGIN { print $used / $(getconf CLK_TCK) }")"
row "bookings at $rate/s" requests_per_core_s \
    "$(awk "BEGIN { print $used ? int($whole * $(getconf CLK_TCK) / $used) : 0 }")"

load --rate $((streams / 4)) --seconds 4 --booking-share 0 --tokens-min 40 --tokens-max 40 \
    --timeout 600 > "$out/streams.jsonl" &
loading=$!
started="$started $loading"
sleep 5
row "entry, open streams" open_streams "$(open)"
row "entry, open streams" memory_kb "$(memory $entry)"
row "agent, open streams" memory_kb "$(memory $agent)"
