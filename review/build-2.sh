#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review, which run-case-2 starts, into build/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
pids=()
objects=()
for source in review/harness-2/*.cpp soak/store_stand_in.cpp platform/base64.cpp; do
    object="build/review-2/$(basename "$source" .cpp).o"
    objects+=("$object")
    # shellcheck disable=SC2046
    g++ -std=c++20 -O1 -Iinclude -Isrc -Iplatform -Isoak $(pkg-config --cflags cpp-httplib) -c "$source" -o "$object" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
# shellcheck disable=SC2046
g++ "${objects[@]}" -o build/review-2/cases.new $(pkg-config --libs cpp-httplib) -pthread
mv build/review-2/cases.new build/review-2/cases
