#!/usr/bin/env bash
# Runs a deployment's callers against three daemons once for each fault and prints
# one summary line for each. Exits with 1 if under any fault a response was wrong or
# crossed, a call ran more than once for one idempotency key ("doubled"), a call
# reported as not-run had run, or an answered call had no effect. Requests that end
# as not-run, unknown or cut are counted but are no failure.
#
# usage: scripts/faults.sh andrade|neon [SECONDS [FAULT...]]
set -euo pipefail
. "$(dirname "$0")/lib.sh"

DEPLOYMENT=${1:-andrade}
LENGTH=${2:-8}
shift $(($# < 2 ? $# : 2))
DIR=$ROOT/examples/$DEPLOYMENT
MANIFEST=$DIR/manifest.json
case $DEPLOYMENT in
andrade) NET=127.1 ZONE=sierra-b ;;
neon) NET=127.2 ZONE=reykjavik-b ;;
*)
	echo "usage: $0 andrade|neon [SECONDS [FAULT...]]" >&2
	exit 2
	;;
esac

# Faults of the upstreams. Each begins after one second, so that streams are open by
# then. A fault with a share applies to every upstream, any other to those of $ZONE.
declare -A UPSTREAMS=(
	[down]='{"name":"down","for_ms":3000}'
	[drop]='{"name":"down","share":0.1}'
	[slow]='{"name":"slow","share":0.2,"delay_ms":700}'
	[silent]='{"name":"silent","share":0.1}'
	[refuse]='{"name":"refuse","share":0.3}'
	[refuse-bare]='{"name":"refuse","share":0.1,"bare":true}'
	[lost]='{"name":"lost","share":0.1}'
	[late]='{"name":"late","share":0.2,"delay_ms":700}'
	[cut]='{"name":"cut","share":0.2,"tokens":5}'
	[crossed]='{"name":"crossed","share":0.1}'
	[ignore]='{"name":"ignore"}'
	[blackhole]='{"name":"blackhole"}'
	[restart]='{"name":"restart"}'
	[leave]='{"name":"leave","delay_ms":3000}'
	[leave-bare]='{"name":"leave","delay_ms":3000,"bare":true}'
	[kill]='{"name":"kill","for_ms":3000}'
)
# Faults of the table service.
declare -A TABLE=(
	[table-down]='{"name":"down","for_ms":3000}'
	[table-slow]='{"name":"slow","delay_ms":300}'
	[table-lost]='{"name":"lost","share":0.2}'
	[table-silent]='{"name":"silent","share":0.1}'
	[table-blackhole]='{"name":"blackhole"}'
)
ORDER=(none down drop slow silent refuse refuse-bare lost late cut crossed ignore blackhole restart leave leave-bare kill
	table-down table-slow table-lost table-silent table-blackhole daemon-kill daemon-pause)
[ $# -gt 0 ] && ORDER=("$@")

begin "demo-$DEPLOYMENT" # the demo's lock, because both use the same addresses
CALLERS=()
LISTED=()
for i in 1 3 5; do
	CALLERS+=(--daemon "$NET.1.$i:7000")
	LISTED+=(--settings "$DIR/entry-$i.json")
done

start_all() {
	local i
	start standins "$BIN/lagoonstand" serve --manifest "$MANIFEST" --profile "$DIR/profile.json" "${LISTED[@]}" \
		--table "$NET.0.1:7201" --objects "$NET.0.1:7202" --cloud "$NET.0.1:7203" --control "$NET.0.1:7200"
	"$BIN/lagoonstand" wait "http://$NET.0.1:7203/vms" || fail "the stand-ins did not start"
	for i in 1 3 5; do
		start "entry-$i" "$BIN/lagoonmux" --settings "$DIR/entry-$i.json"
		"$BIN/lagoonstand" wait "http://$NET.1.$i:7000/healthz" || fail "entry-$i did not start"
	done
	"$BIN/lagoonctl" --address "$NET.1.1:7001" apply "$MANIFEST" >/dev/null || fail apply
	for i in 1 3 5; do
		"$BIN/lagoonstand" wait "http://$NET.1.$i:7000/readyz" || fail "entry-$i is not ready"
	done
}

# plan FAULT prints the body of POST /faults for one fault.
plan() { echo "{\"seed\":1,\"faults\":[${1%\}},\"after_ms\":1000}]}"; }

# strike FAULT starts a fault of the upstreams or of the table.
strike() {
	local fault=$1 where=(--zone "$ZONE")
	if [ -n "${UPSTREAMS[$fault]:-}" ]; then
		[[ ${UPSTREAMS[$fault]} == *share* ]] && where=()
		"$BIN/lagoonstand" fault --manifest "$MANIFEST" "${where[@]}" "$(plan "${UPSTREAMS[$fault]}")" >/dev/null
	elif [ -n "${TABLE[$fault]:-}" ]; then
		"$BIN/lagoonstand" fault --address "$NET.0.1:7201" "$(plan "${TABLE[$fault]}")"
	fi
}

# harm FAULT kills or pauses the process of entry-3, if FAULT is one of a daemon.
harm() {
	sleep 1
	case $1 in
	daemon-kill) kill_now entry-3 ;;
	daemon-pause)
		kill -STOP "${PIDS[entry-3]}"
		sleep 2
		kill -CONT "${PIDS[entry-3]}"
		;;
	esac
}

run() {
	local fault=$1 i code=0
	start_all
	strike "$fault" || fail "fault $fault"
	start load "$BIN/lagoonstand" load --mix "$DIR/mix.json" "${CALLERS[@]}" --manifest "$MANIFEST" \
		--control "$NET.0.1:7200" --duration "${LENGTH}s"
	harm "$fault"
	await load || code=$?
	printf '%-15s %s\n' "$fault" "$(grep '^summary' "$WORK/load.log" || tail -n 1 "$WORK/load.log")"
	grep '^after_notice' "$WORK/load.log" || true
	grep '^sample' "$WORK/load.log" | head -n 3 | cut -c 1-260 || true
	for i in 1 3 5; do
		stop "entry-$i" || fail "entry-$i did not shut down cleanly under $fault"
	done
	stop standins || true
	return $code
}

BAD=()
for fault in "${ORDER[@]}"; do
	run "$fault" || BAD+=("$fault")
done
[ ${#BAD[@]} -eq 0 ] || {
	echo "promises broken under: ${BAD[*]}"
	exit 1
}
