#!/usr/bin/env bash
# Plays a deployment's callers once for each fault of the upstreams, against
# three daemons, and prints one line of verdicts for each. Exits with 1 if an
# answer was wrong, crossed, doubled or not as it was told under any of them.
# Requests that end as not-run or unknown are counted, and judge nothing.
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

# Each fault begins after one second, so that streams are open when it strikes.
declare -A PLANS=(
	[none]='{}'
	[down]='{"name":"down","for_ms":3000}'
	[drop]='{"name":"down","share":0.1,"path":"/"}'
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
ORDER=(none down drop slow silent refuse refuse-bare lost late cut crossed ignore blackhole restart leave leave-bare kill)
[ $# -gt 0 ] && ORDER=("$@")

begin "demo-$DEPLOYMENT" # the same addresses
CALLERS=()
for i in 1 3 5; do
	CALLERS+=(--daemon "$NET.1.$i:7000")
done

run() {
	local fault=$1 plan=${PLANS[$1]} i
	[ "$plan" = '{}' ] || plan="{\"seed\":1,\"faults\":[${plan%\}},\"after_ms\":1000}]}"
	start standins "$BIN/lagoonstand" serve --manifest "$MANIFEST" --profile "$DIR/profile.json" \
		--table "$NET.0.1:7201" --objects "$NET.0.1:7202" --control "$NET.0.1:7200"
	for i in 1 3 5; do
		start "entry-$i" "$BIN/lagoonmux" --settings "$DIR/entry-$i.json"
		"$BIN/lagoonstand" wait "http://$NET.1.$i:7000/healthz" || fail "entry-$i did not start"
	done
	apply_manifest
	# Half of the faults strike a zone at once, the drawn ones strike everywhere.
	local where=(--zone "$ZONE")
	[[ $plan == *share* ]] && where=()
	"$BIN/lagoonstand" fault --manifest "$MANIFEST" "${where[@]}" "$plan" >/dev/null || fail "fault $fault"
	local code=0
	"$BIN/lagoonstand" load --mix "$DIR/mix.json" "${CALLERS[@]}" --manifest "$MANIFEST" --control "$NET.0.1:7200" \
		--duration "${LENGTH}s" >"$WORK/load.log" 2>/dev/null 9>&- || code=$?
	printf '%-12s %s\n' "$fault" "$(grep '^summary' "$WORK/load.log" || echo 'no report')"
	grep '^sample verdict=\(wrong\|crossed\)' "$WORK/load.log" || true
	for i in 1 3 5; do
		stop "entry-$i" || fail "entry-$i did not shut down cleanly under $fault"
	done
	stop standins || true
	return $code
}

apply_manifest() {
	local i
	"$BIN/lagoonctl" --address "$NET.1.1:7001" apply "$MANIFEST" >/dev/null || fail apply
	for i in 1 3 5; do
		"$BIN/lagoonstand" wait "http://$NET.1.$i:7000/readyz" || fail "entry-$i is not ready"
	done
}

BAD=()
for fault in "${ORDER[@]}"; do
	run "$fault" || BAD+=("$fault")
done
[ ${#BAD[@]} -eq 0 ] || {
	echo "promises broken under: ${BAD[*]}"
	exit 1
}
