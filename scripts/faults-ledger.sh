#!/usr/bin/env bash
# Causes the failures that the ledger protects against, alone and two at a time,
# with real daemons and stand-ins, and prints one row of outcomes for each. Exits
# with 1 if a call ran twice for one idempotency key, a call reported as not-run had
# run, a response was cut (ended as if complete) or crossed, or an accepted request
# was lost.
#
# A stream that visibly broke off counts as unknown and as broken, not as cut: its
# caller knows that the response is incomplete.
#
# usage: scripts/faults-ledger.sh [alone|pairs|all|FAULT[+FAULT]...]
set -euo pipefail
. "$(dirname "$0")/lib.sh"

NET=127.11
KEY=faults-bakery
TABLE=$NET.0.9:7201
OBJECTS=$NET.0.9:7202
ARRIVALS=4s
FAULTS=(table-down table-slow commit-lost upstream-refuses upstream-silent upstream-killed daemon-killed daemon-frozen objects-down)

# settings NUMBER prints the settings of one daemon.
settings() {
	cat <<JSON
{"name": "entry-$1", "region": "sierra", "zone": "sierra-$1", "vm_class": "c2", "cores": 2, "drain_wait_ms": 100,
 "caller_address": "$NET.1.$1:7000", "operator_address": "$NET.1.$1:7001", "peer_address": "$NET.1.$1:7002",
 "peers": ["$NET.1.1:7002", "$NET.1.2:7002", "$NET.1.3:7002"],
 "platform": {"table": "http://$TABLE", "objects": "http://$OBJECTS", "cloud": "http://$NET.0.9:7203"}}
JSON
}

manifest() {
	cat <<JSON
{"services": [
   {"name": "fortune", "kind": "model", "target": {"first_token_ms": 420, "between_tokens_ms": 29, "total_ms": 8000}},
   {"name": "orders", "kind": "plain", "target": {"total_ms": 2000}, "routes": [{"method": "POST", "path": "/orders"}]}],
 "upstreams": [
   {"name": "engine-1", "service": "fortune", "address": "$NET.0.1:7101", "zone": "sierra-1", "vm_class": "g4", "slots": 16},
   {"name": "engine-2", "service": "fortune", "address": "$NET.0.2:7101", "zone": "sierra-2", "vm_class": "g4", "slots": 16},
   {"name": "engine-3", "service": "fortune", "address": "$NET.0.3:7101", "zone": "sierra-3", "vm_class": "g4", "slots": 16},
   {"name": "desk-1", "service": "orders", "address": "$NET.0.1:7102", "zone": "sierra-1", "vm_class": "c2", "slots": 64},
   {"name": "desk-2", "service": "orders", "address": "$NET.0.2:7102", "zone": "sierra-2", "vm_class": "c2", "slots": 64},
   {"name": "desk-3", "service": "orders", "address": "$NET.0.3:7102", "zone": "sierra-3", "vm_class": "c2", "slots": 64}],
 "customers": [{"name": "bakery", "key": "$KEY", "weight": 1, "requests_per_second": 500, "tokens_per_second": 100000, "concurrency": 500}],
 "vm_classes": [
   {"name": "g4", "on_demand_per_hour": 2, "reclaimable_per_hour": 1, "accelerators": 1},
   {"name": "c2", "on_demand_per_hour": 0.2, "reclaimable_per_hour": 0.1}]}
JSON
}

# add ADDRESS FAULT adds a fault to the plan of the stand-in at ADDRESS.
add() { PLANS[$1]=${PLANS[$1]:+${PLANS[$1]},}$2; }

# strike FAULT... starts the faults, those of one stand-in in one plan. They end
# without further commands while callers still send requests.
strike() {
	local fault address
	declare -gA PLANS=()
	for fault in "$@"; do
		case $fault in
		table-down) add "$TABLE" '{"name":"down","after_ms":100,"for_ms":1500}' ;;
		table-slow) add "$TABLE" '{"name":"slow","delay_ms":900,"for_ms":2000}' ;;
		commit-lost) add "$TABLE" '{"name":"lost","share":0.3,"for_ms":2500}' ;;
		objects-down) add "$OBJECTS" '{"name":"down","after_ms":100,"for_ms":1500}' ;;
		upstream-refuses)
			add "$NET.0.1:7102" '{"name":"refuse","share":0.5}'
			add "$NET.0.1:7101" '{"name":"refuse","share":0.5}'
			;;
		upstream-silent)
			add "$NET.0.2:7102" '{"name":"silent","share":0.3,"for_ms":2000}'
			add "$NET.0.2:7101" '{"name":"blackhole","after_ms":100}'
			;;
		upstream-killed)
			add "$NET.0.3:7102" '{"name":"kill","after_ms":100,"for_ms":1500}'
			add "$NET.0.3:7101" '{"name":"kill","after_ms":100,"for_ms":1500}'
			;;
		daemon-killed) kill_now entry-2 ;;
		daemon-frozen)
			kill -STOP "${PIDS[entry-3]}"
			FROZEN=1
			;;
		*) fail "no such fault: $fault" ;;
		esac
	done
	for address in "${!PLANS[@]}"; do
		"$BIN/lagoonstand" fault --address "$address" "{\"seed\":7,\"faults\":[${PLANS[$address]}]}" >/dev/null || fail "fault at $address"
	done
}

# run FAULT[+FAULT] runs daemons and callers under the faults and prints one row.
run() {
	local row=$1 i code=0 load
	FROZEN=0
	start standins "$BIN/lagoonstand" serve --manifest "$WORK/manifest.json" --table "$TABLE" --objects "$OBJECTS"
	for i in 1 2 3; do
		start "entry-$i" "$BIN/lagoonmux" --settings "$WORK/entry-$i.json"
	done
	for i in 1 2 3; do
		"$BIN/lagoonstand" wait "http://$NET.1.$i:7000/healthz" || fail "entry-$i did not start"
	done
	"$BIN/lagoonctl" --address "$NET.1.1:7001" apply "$WORK/manifest.json" >/dev/null || fail apply
	for i in 1 2 3; do
		"$BIN/lagoonstand" wait "http://$NET.1.$i:7000/readyz" || fail "entry-$i is not ready"
	done
	start owed "$BIN/lagoonstand" owed --name "$row" --manifest "$WORK/manifest.json" --key "$KEY" --duration "$ARRIVALS" \
		--daemon "$NET.1.1:7000" --daemon "$NET.1.2:7000" --daemon "$NET.1.3:7000"
	sleep 1
	# shellcheck disable=SC2086 # one word for each fault of the row
	strike ${row//+/ }
	if [ $FROZEN = 1 ]; then
		sleep 2
		kill -CONT "${PIDS[entry-3]}"
	fi
	load=${PIDS[owed]}
	unset "PIDS[owed]"
	wait "$load" || code=$?
	cat "$WORK/owed.log"
	for i in 1 2 3; do
		stop "entry-$i" || true
	done
	stop standins || true
	return $code
}

begin faults-ledger
manifest >"$WORK/manifest.json"
for i in 1 2 3; do
	settings "$i" >"$WORK/entry-$i.json"
done

ROWS=()
pairs() {
	local i j
	for ((i = 0; i < ${#FAULTS[@]}; i++)); do
		for ((j = i + 1; j < ${#FAULTS[@]}; j++)); do
			ROWS+=("${FAULTS[i]}+${FAULTS[j]}")
		done
	done
}
case ${1:-all} in
alone) ROWS=("${FAULTS[@]}") ;;
pairs) pairs ;;
all)
	ROWS=("${FAULTS[@]}")
	pairs
	;;
*) ROWS=("$@") ;;
esac

BAD=()
for row in "${ROWS[@]}"; do
	run "$row" || BAD+=("$row")
done
[ ${#BAD[@]} -eq 0 ] || {
	echo "promises broken under: ${BAD[*]}"
	exit 1
}
