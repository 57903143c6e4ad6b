#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -uo pipefail
cd "$(dirname "$0")/../.."
export RECORD=review/6/record.txt
[ -x target/bin/currantvaled ] && [ -x target/review-2/case-6 ] || exit 2
timeout --signal=KILL 115 target/review-2/case-6
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
