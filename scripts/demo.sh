#!/usr/bin/env bash
# Demo of a deployment on loopback addresses: stand-ins, three daemons in three
# availability zones, callers of every kind, and a reclaim notice for a whole zone
# while they call. Then checks the outcome of every request by responses and run
# counts, never by timing. Exits with 0 only if every outcome was right.
#
# usage: scripts/demo.sh andrade|neon
set -euo pipefail
. "$(dirname "$0")/lib.sh"

DEPLOYMENT=${1:-andrade}
DIR=$ROOT/examples/$DEPLOYMENT
case $DEPLOYMENT in
andrade) NET=127.1 ZONE=sierra-a ;;
neon) NET=127.2 ZONE=reykjavik-a ;;
*)
	echo "usage: $0 andrade|neon" >&2
	exit 2
	;;
esac
DAEMONS=(1 3 5) # one in each zone; entry-1 is in $ZONE
NOTICE=${NOTICE:-8s}               # from the notice to the end of the reclaimed upstreams
DAEMON_NOTICE=${DAEMON_NOTICE:-8s} # from the notice to the end of the VM of entry-1

begin "demo-$DEPLOYMENT"
MANIFEST=$DIR/manifest.json

note "$DEPLOYMENT: start stand-ins for 20 model upstreams, 3 plain upstreams and the platform"
LISTED=()
for i in "${DAEMONS[@]}"; do
	LISTED+=(--settings "$DIR/entry-$i.json")
done
start standins "$BIN/lagoonstand" serve --manifest "$MANIFEST" --profile "$DIR/profile.json" "${LISTED[@]}" \
	--table "$NET.0.1:7201" --objects "$NET.0.1:7202" --cloud "$NET.0.1:7203" --control "$NET.0.1:7200"
"$BIN/lagoonstand" wait "http://$NET.0.1:7203/vms" || fail "the stand-ins did not start"

note "start three daemons in three availability zones"
for i in "${DAEMONS[@]}"; do
	start "entry-$i" "$BIN/lagoonmux" --settings "$DIR/entry-$i.json"
	"$BIN/lagoonstand" wait "http://$NET.1.$i:7000/healthz" || fail "entry-$i did not start"
done

note "apply the manifest at one daemon"
"$BIN/lagoonctl" --address "$NET.1.1:7001" apply "$MANIFEST" || fail "apply"
CALLERS=()
for i in "${DAEMONS[@]}"; do
	"$BIN/lagoonstand" wait "http://$NET.1.$i:7000/readyz" || fail "entry-$i is not ready"
	CALLERS+=(--daemon "$NET.1.$i:7000")
done

note "start callers: streams, complete responses, chats, lots, non-repeatable orders, lookups"
start load "$BIN/lagoonstand" load --mix "$DIR/mix.json" "${CALLERS[@]}" --manifest "$MANIFEST" --control "$NET.0.1:7200" --strict
sleep 4

note "reclaim notice: every reclaimable upstream of $ZONE ends in $NOTICE, and the VM of entry-1 in $DAEMON_NOTICE"
"$BIN/lagoonstand" reclaim --cloud "$NET.0.1:7203" --zone "$ZONE" --in "$NOTICE" || fail "reclaim"
"$BIN/lagoonstand" reclaim --cloud "$NET.0.1:7203" --vm vm-entry-1 --in "$DAEMON_NOTICE" || fail "reclaim"
await entry-1 || fail "entry-1 did not shut down cleanly"
note "entry-1 has drained and stopped"

await load && CODE=0 || CODE=$?
cat "$WORK/load.log"
[ $CODE -eq 0 ] || fail "an outcome was wrong"

for i in "${DAEMONS[@]:1}"; do
	stop "entry-$i" || fail "entry-$i did not shut down cleanly"
done
stop standins || fail "the stand-ins did not stop cleanly"
note "every outcome was right"
