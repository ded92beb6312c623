#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3. Needs the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
read -r -a flags <<< "$(pkg-config --cflags --libs cpp-httplib)"
g++ -std=c++20 -O1 -Wall -Wextra -o target/review-3/review-3 review/harness-3/*.cpp "${flags[@]}" -lpthread
