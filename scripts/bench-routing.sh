#!/bin/sh
# Compares the routing policies side by side. Takes under 20 minutes, with QUICK=1
# under 3. Prints rows of key=value pairs to stdout and progress to stderr.
set -eu
cd "$(dirname "$0")/.."
if [ -n "${QUICK:-}" ]; then
	set -- --length=3s --part=scenarios,cost "$@"
else
	set -- --length=10s --part=scenarios,cost,ablation --plots=docs/img "$@"
fi
bin/lagoonstand bench-routing "$@" &
pid=$!
trap 'kill "$pid" 2>/dev/null || true' INT TERM EXIT
wait "$pid"
