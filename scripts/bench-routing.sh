#!/bin/sh
# Compares the routing policies side by side. QUICK=1 takes under 3 minutes,
# the whole under 20. Rows of key=value go to stdout, progress to stderr.
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
