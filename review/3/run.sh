#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/review/case3 ] && [ -x target/sycamore-relayd ] || exit 2
exec build/review/case3 review/3/record.txt
