#!/usr/bin/env bash
# Builds the programs of the scripts in review/6 to review/10 into
# target/review-2/. Needs what the build of the deploy file needs.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread)
for source in review/support-2/*.cc; do
  g++ "${flags[@]}" -c "$source" -o "$out/$(basename "$source" .cc).o" &
done
wait
for source in review/{6,7,8,9,10}/*.cc; do
  [ -e "$source" ] || continue
  g++ "${flags[@]}" "$source" "$out"/*.o -lboost_json -o "$out/$(basename "$source" .cc)"
done
echo "built into $out/"
