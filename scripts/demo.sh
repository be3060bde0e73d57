#!/usr/bin/env bash
# Runs the whole path as separate processes: three routers in two regions, two engines, a plain
# service and the platform. Ends by itself and leaves nothing running.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet --locked -p knapweedglade -p kwg-standin
kwg=target/debug/knapweedglade
standin=target/debug/kwg-standin
work=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; rm -rf "$work"' EXIT

start() { # log file, command...
    local log=$1
    shift
    "$@" >>"$log" 2>&1 &
    last=$!
    pids+=("$last")
}

wait_ready() { # admin port
    for _ in $(seq 100); do
        curl -sf "http://127.0.0.1:$1/ready" >/dev/null && return 0
        sleep 0.1
    done
    echo "router on port $1 is not ready" >&2
    return 1
}

base=${KWG_DEMO_PORT:-21800}
port() { echo $((base + $1)); }
platform=127.0.0.1:$(port 0)
account=$($kwg keys account --name demo)
key=$(sed -n 's/^key for .*: //p' <<<"$account")
section=$(sed -n '/^\[account/,$p' <<<"$account")
$kwg keys fleet --dir "$work" >/dev/null

write_settings() { # name, number, domain, region
    $kwg keys router --dir "$work" --name "$1" >/dev/null
    cat >"$work/$1.ini" <<INI
[router]
name = $1
domain = $3
region = $4
threads = 2
front = 127.0.0.1:$(port $((10 + $2)))
admin = 127.0.0.1:$(port $((20 + $2)))

[peer]
address = 127.0.0.1:$(port $((30 + $2)))
authority = fleet.crt
certificate = $1.crt
key = $1.key

[fleet]
seal_secret = a secret of the demo only

[platform]
tables = $platform
objects = $platform
instances = $platform

[timing]
drain_notice_ms = 300
archive_s = 1

[log]
file = $1.log

$section
INI
    $kwg check --settings "$work/$1.ini" >/dev/null
}

write_settings r1 1 ost-graz ost
write_settings r2 2 ost-wien ost
write_settings r3 3 west-ibk west
cat >"$work/routes.ini" <<INI
[patches]
pool = graz
tier = 0

[labels]
pool = graz
tier = 3
deadline_ms = 30000

[bookings]
pool = desk
tier = 1
INI
cat >"$work/pools.ini" <<INI
[graz]
version = v1

[graz/e1]
address = 127.0.0.1:$(port 1)
domain = ost-graz
region = ost
limit_tokens = 4000

[graz/e2]
address = 127.0.0.1:$(port 2)
domain = west-ibk
region = west
limit_tokens = 2000
heeds_fencing = true

[desk]
kind = service
version = v1

[desk/s1]
address = 127.0.0.1:$(port 3)
domain = ost-wien
region = ost
limit_tokens = 1000
INI

start "$work/platform.log" $standin platform --address "$platform"
start "$work/e1.out" $standin engine --address "127.0.0.1:$(port 1)" --name e1 --log "$work/e1.log"
start "$work/e2.out" $standin engine --address "127.0.0.1:$(port 2)" --name e2 --step-ms 15 \
    --no-fencing --log "$work/e2.log"
start "$work/s1.out" $standin service --address "127.0.0.1:$(port 3)" --name s1 --log "$work/s1.log"
for _ in $(seq 100); do
    curl -sf "http://$platform/stats" >/dev/null && break
    sleep 0.05
done
rows=""
for n in 1 2 3; do
    rows+="{\"name\":\"r$n\",\"kind\":\"router\",\"address\":\"127.0.0.1:$(port $((30 + n)))\","
    rows+="\"admin\":\"127.0.0.1:$(port $((20 + n)))\"},"
done
curl -sf -X PUT -d "[${rows%,}]" "http://$platform/v1/instances"
echo "== tables"
$kwg tables put --tables "$platform" --routes "$work/routes.ini" --pools "$work/pools.ini" \
    --editor demo
for n in 1 2 3; do
    start "$work/r$n.out" $kwg router --settings "$work/r$n.ini"
    eval "r$n=$last"
done
for n in 1 2 3; do wait_ready $(port $((20 + n))); done
sleep 1.5
$kwg tables status --tables "$platform" --instances "$platform"

echo "== requests of several tiers"
all="127.0.0.1:$(port 11),127.0.0.1:$(port 12),127.0.0.1:$(port 13)"
results="$work/results"
$standin call --routers "$all" --key "$key" --route patches --count 4 | tee -a "$results"
$standin call --routers "$all" --key "$key" --route labels --count 6 --tokens 4 | tee -a "$results"
$standin call --routers "$all" --key "$key" --route bookings --count 3 --non-idempotent \
    --service | tee -a "$results"

echo "== the same ticket twice, at two routers"
auth="authorization: Bearer $key"
ticket=$(curl -sf -X POST -H "$auth" "http://127.0.0.1:$(port 11)/v1/tickets?count=1" |
    sed 's/.*\["\([^"]*\)"\].*/\1/')
for n in 1 2; do
    curl -sfN -X POST -H "$auth" -H "kwg-ticket: $ticket" -H 'kwg-max-tokens: 40' \
        -d 'the same request' "http://127.0.0.1:$(port $((10 + n)))/v1/requests/patches" \
        >"$work/twice$n" &
    twice[n]=$!
done
wait "${twice[1]}" "${twice[2]}"
text() { sed -n 's/^data: "\(.*\)"$/\1/p' "$1" | tr -d '\n'; }
if [ -n "$(text "$work/twice1")" ] && [ "$(text "$work/twice1")" = "$(text "$work/twice2")" ]; then
    echo "route=patches result=Answered resends=0 both callers got the same answer"
else
    echo "route=patches result=Wrong the two answers differ"
fi | tee -a "$results"

echo "== a router is killed with a request under way"
$standin call --routers "127.0.0.1:$(port 13),127.0.0.1:$(port 11)" --key "$key" \
    --route patches --tokens 200 --body 'a long summary' >"$work/killed" &
caller=$!
sleep 1
kill -9 "$r1"
wait "$r1" 2>/dev/null || true
wait "$caller" || true
tee -a "$results" <"$work/killed"

echo "== shutdown"
kill -TERM "$r2" "$r3"
for pid in "$r2" "$r3"; do
    code=0
    wait "$pid" || code=$?
    echo "router ended with exit code $code"
done
echo "== time line of the killed request"
killed=$(grep -h event=resumed "$work"/r3.log | tail -1 | sed 's/.*ticket=\([^ ]*\).*/\1/')
$kwg timeline "$work"/r?.log "$work"/e?.log "$work"/s1.log --match "$killed"
echo "== time line over all processes (last 20 of the events archived in the object store)"
$kwg timeline --objects "$platform" | tail -20

twice=0
for n in 1 2 3; do
    stats=$(curl -sf "http://127.0.0.1:$(port $n)/stats")
    twice=$((twice + $(sed 's/.*"dispatched_twice":\([0-9]*\).*/\1/' <<<"$stats")))
done
kill "${pids[@]}" 2>/dev/null || true
wait 2>/dev/null || true
left=0
for pid in "${pids[@]}"; do
    if kill -0 "$pid" 2>/dev/null; then left=$((left + 1)); fi
done
sent=$(wc -l <"$results")
whole=$(grep -c result=Answered "$results" || true)
echo "requests sent: $sent"
echo "answered once and whole: $whole"
echo "dispatched twice: $twice"
echo "processes left: $left"
[ "$sent" = "$whole" ] && [ "$twice" = 0 ] && [ "$left" = 0 ]

echo
echo "== two gateways on the platform's wire"
start "$work/fleet.out" $standin fleet --runners 3
for _ in $(seq 100); do
    store=$(head -n 1 "$work/fleet.out" 2>/dev/null || true)
    [ -n "$store" ] && break
    sleep 0.05
done
for n in 1 2; do
    cat >"$work/g$n.ini" <<INI
[gateway]
name = g$n
domain = graz
front = 127.0.0.1:$(port $((40 + n)))
ready = 127.0.0.1:$(port $((50 + n)))
metrics = 127.0.0.1:$(port $((60 + n)))
peer = 127.0.0.1:$(port $((70 + n)))
store = $store

[domains]
graz = ost
INI
    $kwg check --gateway "$work/g$n.ini" >/dev/null
    start "$work/g$n.log" $kwg gateway --settings "$work/g$n.ini"
done
for n in 1 2; do
    for _ in $(seq 100); do
        curl -sf "http://127.0.0.1:$(port $((50 + n)))/knapweedglade/ready" >/dev/null && break
        sleep 0.1
    done
    for path in stream/draft/a scan/a open/a; do
        echo "-- gateway g$n, /$path"
        curl -sf -X POST -d prompt -H "Host: graz.example" -H "Authorization: Token key-1" \
            -H "X-Knapweedglade-Request-Id: demo-$n-$path" -H "X-Knapweedglade-Deadline-Ms: 3000" \
            "http://127.0.0.1:$(port $((40 + n)))/$path"
        echo
    done
done
echo "== what the gateways logged of them"
sleep 0.3
grep -h "event=attempt-ended" "$work/g1.log" "$work/g2.log"
