# Functions for scripts that run programs of this tree on loopback addresses.
# Source it: . scripts/lib.sh
#
#   begin NAME          acquire the lock NAME, create $WORK, clean up on exit
#   start NAME CMD...   run CMD in the background, its output in $WORK/NAME.log
#   stop NAME           SIGTERM, wait; returns its exit code
#   await NAME          wait until the process exits; returns its exit code
#   kill_now NAME       SIGKILL, wait
#   note TEXT...        print a line of progress with the seconds since begin
#   fail TEXT...        print TEXT and the last lines of each log, exit with 1
#
# Only processes that start has started are signalled, each by its own id.

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
BIN=$ROOT/bin
STOP_SECONDS=70 # longest wait between SIGTERM and SIGKILL

declare -A PIDS=()

begin() {
	exec 9>"${TMPDIR:-/tmp}/lagoonmux-$1-$(id -u).lock"
	if ! flock --nonblock 9; then
		echo "another run of $1 holds the lock; waiting" >&2
		flock 9
	fi
	WORK=$(mktemp -d)
	BEGAN=$SECONDS
	trap cleanup EXIT
	trap 'exit 130' INT
	trap 'exit 143' TERM
}

note() { printf '%3ds  %s\n' $((SECONDS - BEGAN)) "$*"; }

start() {
	local name=$1
	shift
	"$@" >"$WORK/$name.log" 2>&1 9>&- &
	PIDS[$name]=$!
}

running() { [ -n "${PIDS[$1]:-}" ] && kill -0 "${PIDS[$1]}" 2>/dev/null; }

# stop sends SIGTERM, then SIGKILL if the process runs after STOP_SECONDS.
stop() {
	local name=$1 pid=${PIDS[$1]:-} code=0 waited=0
	[ -n "$pid" ] || return 0
	unset "PIDS[$name]"
	kill -TERM "$pid" 2>/dev/null || true
	while kill -0 "$pid" 2>/dev/null && [ $waited -lt $((STOP_SECONDS * 10)) ]; do
		sleep 0.1
		waited=$((waited + 1))
	done
	kill -KILL "$pid" 2>/dev/null && echo "$name did not stop" >&2
	wait "$pid" 2>/dev/null || code=$?
	return $code
}

# await waits until a process exits without being signalled.
await() {
	local pid=${PIDS[$1]:-} code=0
	unset "PIDS[$1]"
	wait "$pid" || code=$?
	return $code
}

kill_now() {
	local pid=${PIDS[$1]:-}
	[ -n "$pid" ] || return 0
	unset "PIDS[$1]"
	kill -KILL "$pid" 2>/dev/null || true
	wait "$pid" 2>/dev/null || true
}

cleanup() {
	local code=$? name
	trap - EXIT
	for name in "${!PIDS[@]}"; do
		kill -TERM "${PIDS[$name]}" 2>/dev/null || true
	done
	for name in "${!PIDS[@]}"; do
		stop "$name" || true
	done
	rm -rf "$WORK"
	exit "$code"
}

fail() {
	echo "FAILED: $*" >&2
	local log
	for log in "$WORK"/*.log; do
		echo "--- $(basename "$log")" >&2
		tail -n 15 "$log" >&2
	done
	exit 1
}
