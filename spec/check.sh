#!/usr/bin/env bash
# Checks the models in this folder with spin: the right models must pass, and
# each broken variant must fail. Prints a row for each and exits 1 otherwise.
set -euo pipefail
cd "$(dirname "$0")"

if ! command -v spin >/dev/null || ! command -v cc >/dev/null; then
	echo "spin and cc are required (Debian packages spin and gcc)" >&2
	exit 1
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
limit_seconds=60
bad=0

only=${1:-}

# check MODEL MACRO WANT runs one variant; an empty macro is the right model.
check() {
	local model=$1 macro=$2 want=$3 dir="$work/$1-${2:-right}" got states
	if [ -n "$only" ] && [ "$only" != "$model" ]; then return; fi
	mkdir "$dir"
	cp "$model.pml" "$dir/"
	(
		cd "$dir"
		spin -a ${macro:+-D$macro} "$model.pml" >spin.out 2>&1
		cc -O2 -w -DSAFETY -o pan pan.c
		timeout "$limit_seconds" ./pan -m100000 >pan.out 2>&1
	) || true
	got=unfinished
	if grep -q 'errors: 0' "$dir/pan.out"; then got=pass; fi
	if grep -q 'errors: [1-9]' "$dir/pan.out"; then got=fail; fi
	if grep -q 'max search depth too small' "$dir/pan.out"; then got=unfinished; fi
	states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$dir/pan.out")
	echo "model=$model variant=${macro:-right} want=$want got=$got states=${states:-?}"
	if [ "$got" != "$want" ]; then
		bad=1
		tail -20 "$dir/pan.out" >&2 || true
	fi
}

check ledger "" pass
for macro in NO_CONDITION RUN_UNCERTAIN REFUSE_AFTER_SEND RELEASE_BY_VERSION NOT_RUN_ON_LOSS SEND_AFTER_PROMISE; do
	check ledger "$macro" fail
done
check ledger_lots "" pass
for macro in NO_CONDITION TELL_BEFORE_RECORD RECORD_BEFORE_OBJECT REPEAT_BLINDLY; do
	check ledger_lots "$macro" fail
done
check ledger_stream "" pass
for macro in NO_REQUEST_CHECK NO_ATTEMPT_CHECK NO_INDEX_CHECK; do
	check ledger_stream "$macro" fail
done
check control_manifest "" pass
for macro in BLIND_APPLY RETRY_NEW_TOKEN GO_BACK; do
	check control_manifest "$macro" fail
done
check control_lease "" pass
for macro in NO_COMMIT_WITH_LEASE NO_REPEAT NO_FENCE_CHECK; do
	check control_lease "$macro" fail
done
exit $bad
