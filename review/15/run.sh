#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
target/review-3/rig3 quota review/15/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
