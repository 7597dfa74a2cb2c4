#!/usr/bin/env bash
# Checks every model under spec/ with spin. The search must find no error in the
# model, and at least one in each of its broken variants, which its line
# "// variants: A B C" names.
set -euo pipefail
cd "$(dirname "$0")/.."
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT

# check MODEL [VARIANT] prints the number of errors that the search found.
check() {
	local model=$PWD/$1 flag=${2:+-D$2}
	rm -rf "$WORK/run" && mkdir "$WORK/run"
	(
		cd "$WORK/run"
		spin -a $flag "$model" >spin.log || { cat spin.log >&2; exit 1; }
		cc -O2 -DSAFETY -DMEMLIM=2048 -DCOLLAPSE -o pan pan.c 2>cc.log || { cat cc.log >&2; exit 1; }
		./pan -m100000 >pan.log 2>&1 || true
		grep -q "errors:" pan.log || { cat pan.log >&2; exit 1; }
		if grep -qE "max search depth too small|out of memory" pan.log; then
			echo "search of $1 was not complete" >&2
			exit 1
		fi
		grep -oE "errors: [0-9]+" pan.log | grep -oE "[0-9]+"
		grep -E "states, stored" pan.log | sed 's/^ */  /' >&2
	)
}

code=0
for model in spec/*.pml; do
	errors=$(check "$model")
	if [ "$errors" = 0 ]; then
		echo "$model holds"
	else
		echo "$model VIOLATED"
		code=1
	fi
	for variant in $(sed -n 's|^// variants: ||p' "$model"); do
		errors=$(check "$model" "$variant" 2>/dev/null)
		if [ "$errors" = 0 ]; then
			echo "$model $variant NOT CAUGHT"
			code=1
		else
			echo "$model $variant caught"
		fi
	done
done
exit $code
