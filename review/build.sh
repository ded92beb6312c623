#!/usr/bin/env bash
# Builds the stand-ins of all scripts into target/review/. Needs the packages of the deploy file alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
# shellcheck disable=SC2046
g++ -std=c++20 -O1 -Wall -Wextra $(pkg-config --cflags cpp-httplib) review/harness/platform.cpp review/harness/cases.cpp -o target/review/review-cases \
    $(pkg-config --libs cpp-httplib) -lssl -lcrypto -lz -lbrotlicommon -lbrotlidec -lbrotlienc -lpthread
