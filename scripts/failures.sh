#!/usr/bin/env bash
# Causes the failures described in docs/OPERATING.md, one after another, and prints
# what operators see of each: the response to the caller, the log and the counters.
# Needs curl besides the programs of this tree.
#
# usage: scripts/failures.sh
set -euo pipefail
. "$(dirname "$0")/lib.sh"

NET=127.14.2
KEY=failures-editors
CALL=http://$NET.1:7000
OPS=$NET.1:7001
TABLE=$NET.9:7201
CTL=("$BIN/lagoonctl" --address "$OPS")

# settings NAME ZONE HOST prints the settings of one daemon.
settings() {
	cat <<JSON
{"name": "$1", "region": "sierra", "zone": "$2", "vm_class": "c2", "cores": 2,
 "caller_address": "$3:7000", "operator_address": "$3:7001", "peer_address": "$3:7002", "peers": ["$NET.1:7002", "$NET.2:7002"],
 "platform": {"table": "http://$TABLE", "objects": "http://$NET.9:7202", "cloud": "http://$NET.9:7203"}}
JSON
}

# manifest CUSTOMERS_WEIGHT prints the manifest.
manifest() {
	cat <<JSON
{"services": [
   {"name": "fortune", "kind": "model", "target": {"first_token_ms": 420, "between_tokens_ms": 29, "total_ms": 8000}},
   {"name": "orders", "kind": "plain", "target": {"total_ms": 2000}, "routes": [
     {"method": "GET", "path": "/orders", "repeatable": true, "class": "urgent"},
     {"method": "POST", "path": "/orders", "repeatable": false}]}],
 "upstreams": [
   {"name": "engine-1", "service": "fortune", "address": "$NET.11:8000", "zone": "sierra-a", "vm_class": "g4", "reclaimable": true, "slots": 16},
   {"name": "engine-2", "service": "fortune", "address": "$NET.12:8000", "zone": "sierra-b", "vm_class": "g4", "slots": 16},
   {"name": "desk-1", "service": "orders", "address": "$NET.21:8000", "zone": "sierra-a", "vm_class": "c2", "slots": 64}],
 "customers": [{"name": "editors", "key": "$KEY", "weight": $1, "requests_per_second": 50, "tokens_per_second": 5000, "concurrency": 64}],
 "vm_classes": [
   {"name": "g4", "on_demand_per_hour": 1.20, "reclaimable_per_hour": 0.40, "accelerators": 1},
   {"name": "c2", "on_demand_per_hour": 0.10, "reclaimable_per_hour": 0.04}]}
JSON
}

section() { printf '\n### %s\n' "$*"; }

# show COMMAND... prints a command, without the paths $BIN and $WORK, and its output.
show() {
	printf '$ %s\n' "$(printf '%s ' "$@" | sed "s|$BIN/||g; s|$WORK/||g")"
	"$@" 2>&1 || printf '(exit code %d)\n' $?
}

# ask ARGS... sends one request as a caller and prints status, outcome and body.
ask() {
	local head=$WORK/head
	printf '$ curl %s\n' "$(printf "%q " "$@" | sed "s|$WORK/||g")"
	curl --silent --max-time 12 --dump-header "$head" --header "Authorization: Bearer $KEY" "$@" 2>&1 | tail -n 3 | cut -c 1-160 ||
		printf '(curl: exit code %d)\n' "${PIPESTATUS[0]}"
	grep -iE '^(HTTP|lagoonmux-|retry-after)' "$head" | tr -d '\r'
	ID=$(grep -i '^lagoonmux-request-id' "$head" | tr -d '\r' | cut -d' ' -f2)
}

stream() { ask "$CALL/v1/completions" --data '{"model":"fortune","prompt":"a verse","max_tokens":20,"stream":true}'; }
order() { ask "$CALL/svc/orders/orders" --header "Idempotency-Key: $1" --data '{"tins":2}'; }
fault() { show "$BIN/lagoonstand" fault "$@"; }
calm() { "$BIN/lagoonstand" fault --manifest "$WORK/manifest.json" '{}' >/dev/null 2>&1 || true; }
seen() { tail -n "+$((MARK + 1))" "$WORK/entry-1.log" | grep -v 'event=answered' | tail -n "${1:-6}" || true; }
mark() { MARK=$(wc -l <"$WORK/entry-1.log"); }

begin failures
manifest 1 >"$WORK/manifest.json"
settings entry-1 sierra-a "$NET.1" >"$WORK/entry-1.json"
settings entry-2 sierra-b "$NET.2" >"$WORK/entry-2.json"
start standins "$BIN/lagoonstand" serve --manifest "$WORK/manifest.json" --table "$TABLE" --objects "$NET.9:7202" --cloud "$NET.9:7203" \
	--settings "$WORK/entry-1.json" --settings "$WORK/entry-2.json"
start entry-1 "$BIN/lagoonmux" --settings "$WORK/entry-1.json"
start entry-2 "$BIN/lagoonmux" --settings "$WORK/entry-2.json"
"$BIN/lagoonstand" wait "$CALL/healthz" || fail "entry-1 did not start"

section "Start"
show "${CTL[@]}" apply "$WORK/manifest.json"
"$BIN/lagoonstand" wait "$CALL/readyz"
"$BIN/lagoonstand" wait "http://$NET.2:7000/readyz"
sleep 2
show "${CTL[@]}" status

section "Reclaim announced"
mark
fault --manifest "$WORK/manifest.json" --upstream engine-1 '{"faults":[{"name":"leave","delay_ms":3000}]}'
sleep 1.5
stream
seen
show "${CTL[@]}" status
sleep 2.5
calm

section "Upstream ends without notice"
mark
fault --manifest "$WORK/manifest.json" --upstream engine-2 '{"faults":[{"name":"kill","for_ms":4000}]}'
stream
show "${CTL[@]}" explain "$ID"
sleep 2
seen
sleep 4
calm

section "Answers cut and crossed"
mark
fault --manifest "$WORK/manifest.json" --upstream engine-2 '{"seed":3,"faults":[{"name":"cut","tokens":5,"count":1}]}'
stream
show "${CTL[@]}" explain "$ID"
seen
calm

section "Open connections go silent"
stream >/dev/null
mark
fault --manifest "$WORK/manifest.json" --upstream engine-2 '{"faults":[{"name":"blackhole"}]}'
stream
show "${CTL[@]}" explain "$ID"
calm

section "Answer of a call that may not be repeated is lost"
mark
fault --manifest "$WORK/manifest.json" --upstream desk-1 '{"faults":[{"name":"lost","count":1,"path":"/orders"}]}'
order lost-1
show "${CTL[@]}" explain "$ID"
seen
order lost-1
calm

section "Table service down"
mark
fault --address "$TABLE" '{"faults":[{"name":"down","for_ms":4000}]}'
order down-1
stream
show "${CTL[@]}" apply "$WORK/manifest.json"
seen
sleep 5
order down-1

section "Effect of a write is unknown"
fault --address "$TABLE" '{"faults":[{"name":"lost","count":1}]}'
order settled-1
show "${CTL[@]}" explain "$ID"
fault --address "$TABLE" '{}'

section "Operators race"
manifest 2 >"$WORK/two.json"
manifest 3 >"$WORK/three.json"
"${CTL[@]}" apply "$WORK/two.json" >"$WORK/a.out" 2>&1 &
A=$!
"$BIN/lagoonctl" --address "$NET.2:7001" apply "$WORK/three.json" >"$WORK/b.out" 2>&1 && B=0 || B=$?
wait "$A" && A=0 || A=$?
echo "entry-1: $(cat "$WORK/a.out") (exit code $A)"
echo "entry-2: $(cat "$WORK/b.out") (exit code $B)"

section "What the daemon has counted"
show "${CTL[@]}" histograms

section "Daemon ends without notice"
mark
kill_now entry-2
sleep 6
seen
show "${CTL[@]}" status

section "Planned stop"
mark
stop entry-1
seen

stop standins
