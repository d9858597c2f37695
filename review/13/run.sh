#!/usr/bin/env bash
# Plays case 13. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-3/case-13 ] || [ ! -x target/sycamore-relayd ]; then
  echo "build the relay as deploy/system.toml does, then run review/build-3.sh" >&2
  exit 2
fi
exec target/review-3/case-13 review/13/record.txt
