#!/usr/bin/env bash
# Plays case 13 on loopback addresses. Exit code: 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/rig3 ] && [ -x target/fuchsiacross-instance ] || exit 2
exec target/review-3/rig3 crashing review/13/record.txt "${TROUBLE:-1}"
