#!/usr/bin/env bash
# Measures the control plane of 6 real daemons on loopback addresses: the time
# until a manifest is in force, until all daemons know of a leaving upstream and
# until they detect a dead one; whether a paused daemon is declared dead; and
# bytes, CPU and memory without callers. Then measures synthetic groups of 60 and
# 460 daemons, the latter with 2,500 upstreams, in simulated time.
#
# usage: scripts/bench-control.sh [real|synthetic]
set -euo pipefail
. "$(dirname "$0")/lib.sh"

ROUNDS=5
QUIET_SECONDS=15
NET=127.13
PART=${1:-all}

synthetic() {
	(cd "$ROOT" && go test -run '^$' -bench 'Control' -benchtime 1x ./internal/members | grep -E "^Benchmark|^FAIL")
}

# cpu_ticks PID prints user and system time in clock ticks.
cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }

# traffic OPERATOR prints the control bytes that the daemon has sent and received.
traffic() { curl -s "http://$1/debug/vars" | grep -oE '"control_bytes": *[0-9]+' | grep -oE '[0-9]+$'; }

# spread NAME VALUE... prints minimum, median and maximum of the values.
spread() {
	local name=$1
	shift
	printf '%s\n' "$@" | sort -n | awk -v n="$name" '{v[NR]=$1} END {printf "%s min=%s median=%s max=%s n=%d\n", n, v[1], v[int((NR+1)/2)], v[NR], NR}'
}

real() {
	begin bench-control
	sed -E "s/127\.1\./$NET./g" "$ROOT/examples/andrade/manifest.json" >"$WORK/manifest.json"
	start standins "$BIN/lagoonstand" serve --manifest "$WORK/manifest.json" \
		--table $NET.0.1:7201 --objects $NET.0.1:7202 --cloud $NET.0.1:7203
	ALL=()
	for i in 1 2 3 4 5 6; do
		sed -E "s/127\.1\./$NET./g" "$ROOT/examples/andrade/entry-$i.json" >"$WORK/entry-$i.json"
		start "entry-$i" "$BIN/lagoonmux" --settings "$WORK/entry-$i.json"
		ALL+=(-d "$NET.1.$i:7001")
	done
	"$BIN/lagoonstand" await "${ALL[@]}" members=6 >/dev/null || fail "a daemon does not have 6 members"

	local values=() n
	for n in $(seq $ROUNDS); do
		"$BIN/lagoonctl" -a $NET.1.$((n % 6 + 1)):7001 apply "$WORK/manifest.json" >/dev/null || fail "apply $n failed"
		values+=("$("$BIN/lagoonstand" await "${ALL[@]}" generation=$n)")
	done
	spread "manifest_in_force_on_6_ms" "${values[@]}"
	"$BIN/lagoonstand" await "${ALL[@]}" upstream:fortune-01=live >/dev/null || fail "fortune-01 is not live at every daemon"

	quiet
	values=()
	for n in 01 04 07; do
		"$BIN/lagoonstand" fault --manifest "$WORK/manifest.json" --upstream "fortune-$n" \
			'{"faults":[{"name":"leave","delay_ms":20000}]}' >/dev/null || fail "leave"
		values+=("$("$BIN/lagoonstand" await "${ALL[@]}" "upstream:fortune-$n=leaving")")
	done
	spread "leaving_by_own_report_on_6_ms" "${values[@]}"
	values=()
	for n in 02 05 08; do
		curl -s -d "{\"vms\":[\"vm-fortune-$n\"],\"in_ms\":20000}" "http://$NET.0.1:7203/reclaim" >/dev/null
		values+=("$("$BIN/lagoonstand" await "${ALL[@]}" "upstream:fortune-$n=leaving")")
	done
	spread "leaving_by_notice_on_6_ms" "${values[@]}"
	values=()
	for n in 03 06 09; do
		"$BIN/lagoonstand" fault --manifest "$WORK/manifest.json" --upstream "fortune-$n" \
			'{"faults":[{"name":"kill"}]}' >/dev/null || fail "kill"
		values+=("$("$BIN/lagoonstand" await "${ALL[@]}" "upstream:fortune-$n=suspect")")
	done
	spread "dead_upstream_out_of_use_on_6_ms" "${values[@]}"

	paused 2
	paused 20
	values=()
	for n in 6 5; do
		kill_now "entry-$n"
		ALL=("${ALL[@]:0:$(((n - 1) * 2))}")
		values+=("$("$BIN/lagoonstand" await "${ALL[@]}" "daemon:entry-$n=dead")")
	done
	spread "dead_daemon_noticed_ms" "${values[@]}"
	for n in 1 2 3 4; do stop "entry-$n" || fail "entry-$n did not stop with 0"; done
	stop standins || fail "the stand-ins did not stop cleanly"
}

# quiet measures bytes, CPU and memory of each daemon without callers.
quiet() {
	local i pid ticks=() bytes=() rates=() shares=() sizes=()
	sleep 3
	for i in 1 2 3 4 5 6; do
		ticks+=("$(cpu_ticks "${PIDS[entry-$i]}")")
		bytes+=("$(traffic $NET.1.$i:7001)")
	done
	sleep $QUIET_SECONDS
	for i in 1 2 3 4 5 6; do
		pid=${PIDS[entry-$i]}
		rates+=($((($(traffic $NET.1.$i:7001) - bytes[i - 1]) / QUIET_SECONDS)))
		shares+=("$(awk -v a="${ticks[i - 1]}" -v b="$(cpu_ticks "$pid")" -v s=$QUIET_SECONDS -v hz="$(getconf CLK_TCK)" 'BEGIN {printf "%.2f", (b - a) / hz / s * 100}')")
		sizes+=("$(awk '/VmRSS/ {print int($2 / 1024)}' "/proc/$pid/status")")
	done
	spread "control_bytes_per_second_at_6" "${rates[@]}"
	spread "idle_daemon_cpu_percent_at_6" "${shares[@]}"
	spread "idle_daemon_rss_mb_at_6" "${sizes[@]}"
}

# deaths LOG... counts the log lines in which a daemon is declared dead.
deaths() { cat "$@" | grep -c "kind=0 .*state=dead" || true; }

# paused SECONDS suspends entry-3 and counts how many daemons were declared dead
# meanwhile, by all daemons and by entry-3 itself.
paused() {
	local before mine after
	before=$(deaths "$WORK"/entry-*.log)
	mine=$(deaths "$WORK/entry-3.log")
	kill -STOP "${PIDS[entry-3]}"
	sleep "$1"
	kill -CONT "${PIDS[entry-3]}"
	"$BIN/lagoonstand" await "${ALL[@]}" members=6 >"$WORK/back" || fail "entry-3 is not a member again after its pause"
	sleep 5
	after=$(deaths "$WORK"/entry-*.log)
	echo "paused_daemon seconds=$1 declared_dead=$((after - before)) by_the_paused_one=$(($(deaths "$WORK/entry-3.log") - mine)) all_live_again_ms=$(cat "$WORK/back")"
}

[ "$PART" = synthetic ] || real
[ "$PART" = real ] || synthetic
