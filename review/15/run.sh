#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
case=$(cd "$(dirname "$0")" && pwd)
cd "$case/../.."
[ -x target/review-3/case-15 ] && [ -x target/bin/acaciaraild ] || exit 2
timeout 115 target/review-3/case-15 "$case"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
