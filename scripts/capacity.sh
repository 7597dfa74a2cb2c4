#!/usr/bin/env bash
# Measures processor time, memory and bytes of one daemon on loopback addresses and
# prints rows of key=value pairs.
# usage: scripts/capacity.sh [part ...]   (idle ratios tokens requests streams decisions)
set -euo pipefail
cd "$(dirname "$0")/.."

caller=127.14.0.1:7000
operator=127.14.0.1:7001
peer=127.14.0.1:7002
fast=127.14.0.1:7101
paced=127.14.0.1:7102
plain=127.14.0.1:7103
key=capacity-bench-key
cores=${CORES:-2}
dir=$(mktemp -d)
pids=()

cleanup() {
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$dir"
}
trap cleanup EXIT

cat > "$dir/settings.json" <<JSON
{"name": "bench", "region": "r", "zone": "a", "vm_class": "c", "cores": $cores,
 "caller_address": "$caller", "operator_address": "$operator", "peer_address": "$peer",
 "platform": {"table": "http://127.14.0.1:7201", "objects": "http://127.14.0.1:7202", "cloud": "http://127.14.0.1:7203"}}
JSON
cat > "$dir/manifest.json" <<JSON
{"services": [
   {"name": "fast", "kind": "model", "target": {"total_ms": 600000}},
   {"name": "paced", "kind": "model", "target": {"total_ms": 600000}},
   {"name": "p", "kind": "plain", "target": {"total_ms": 5000}, "routes": [{"method": "GET", "path": "/", "repeatable": true}]}],
 "upstreams": [
   {"name": "fast", "service": "fast", "address": "$fast", "zone": "a", "vm_class": "c", "slots": 100000},
   {"name": "paced", "service": "paced", "address": "$paced", "zone": "a", "vm_class": "c", "slots": 100000},
   {"name": "plain", "service": "p", "address": "$plain", "zone": "a", "vm_class": "c", "slots": 100000}],
 "customers": [{"name": "bench", "key": "$key", "weight": 1, "requests_per_second": 1e9, "tokens_per_second": 1e12, "concurrency": 1000000}],
 "vm_classes": [{"name": "c", "on_demand_per_hour": 1, "reclaimable_per_hour": 1}]}
JSON

table=127.14.0.1:7201
objects=127.14.0.1:7202

start_daemon() {
  bin/lagoonmux --settings "$dir/settings.json" 2> "$dir/daemon.log" &
  daemon=$!
  pids+=("$daemon")
  for _ in $(seq 100); do
    if bin/lagoonctl -a "$operator" apply "$dir/manifest.json" > /dev/null 2> "$dir/apply.log"; then
      return
    fi
    sleep 0.1
  done
  cat "$dir/daemon.log" "$dir/apply.log" >&2
  return 1
}

stop_daemon() {
  kill "$daemon"
  wait "$daemon" || true
}

cat > "$dir/platform.json" <<JSON
{"services": [{"name": "none", "kind": "plain", "target": {"total_ms": 1000}, "routes": [{"method": "GET", "path": "/", "repeatable": true}]}],
 "upstreams": [{"name": "none", "service": "none", "address": "127.14.0.1:7104", "zone": "a", "vm_class": "c", "slots": 1}],
 "customers": [{"name": "bench", "key": "$key", "weight": 1, "requests_per_second": 1, "tokens_per_second": 1, "concurrency": 1}],
 "vm_classes": [{"name": "c", "on_demand_per_hour": 1, "reclaimable_per_hour": 1}]}
JSON
bin/lagoonstand serve --manifest "$dir/platform.json" --table "$table" --objects "$objects" 2> "$dir/platform.log" &
pids+=($!)
bin/lagoonstand bench-upstream --address "$fast" &
pids+=($!)
bin/lagoonstand bench-upstream --address "$paced" --interval 29ms &
pids+=($!)
bin/lagoonstand bench-upstream --address "$plain" &
pids+=($!)

for part in "${@:-idle ratios tokens requests streams decisions}"; do
  for p in $part; do
    if [ "$p" = decisions ]; then
      bin/lagoonstand bench-decisions
    else
      start_daemon
      bin/lagoonstand bench-entry --daemon "$caller" --fast "$fast" --plain "$plain" --pid "$daemon" --key "$key" --only "$p"
      stop_daemon
    fi
  done
done
