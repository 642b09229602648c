#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/quincecross.jar ] && [ -d target/review/review ] || { echo 'not built' >&2; exit 2; }
timeout -k 2 117 java -Xmx512m -cp target/review review.LateCopy review/3/record.txt
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
