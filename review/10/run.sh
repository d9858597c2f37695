#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# With TROUBLE=0, the disruption does not take place.
set -u
export TROUBLE=${TROUBLE:-1}
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
rm -f "$here/record.txt"
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
program=$root/target/review-2/copied_store
[ -x "$program" ] && [ -x "$root/target/sycamore-relayd" ] || exit 2
cd "$root" || exit 2
timeout -k 5 110 "$program" "$root" "$folder" "$here/record.txt"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
