#!/bin/sh
# Case 10. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: the same requests, and no server ends under them.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/lagoonmux ] && [ -x target/review-2/poison ] || { echo "build first: the deploy file, review/build-2.sh"; exit 2; }
exec target/review-2/poison dark "$here/record.txt"
