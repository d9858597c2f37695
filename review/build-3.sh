#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 11 to 15 into target/review-3/.
# Needs what the deploy file needs, and its build of target/sycamore-relayd.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -pthread -Wall -Wextra)
g++ "${flags[@]}" -c review/support-3/json.cc -o "$out/json.o"
pids=()
for source in review/1[1-5]/case.cc; do
  [ -f "$source" ] || continue
  name=case-$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "$out/json.o" -o "$out/$name" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
