#!/usr/bin/env bash
# Builds the stand-ins of the cases into build/review. Needs what the build of
# deploy/system.toml needs, and target/sycamore-relayd to run them.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
flags=(-std=c++20 -O1 -Wall -Wextra)
objects=()
pids=()
for source in review/support/*.cc; do
  object=build/review/$(basename "$source" .cc).o
  objects+=("$object")
  c++ "${flags[@]}" -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for source in review/*/main.cc; do
  number=$(basename "$(dirname "$source")")
  c++ "${flags[@]}" "$source" "${objects[@]}" -lboost_json -lpthread \
    -o "build/review/case$number" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
