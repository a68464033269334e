#!/usr/bin/env bash
# Builds the stand-ins and clients of the third review's scripts into target/review-3, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/*.cpp; do
    [ -e "$source" ] || continue
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -Ireview -o "target/review-3/$(basename "$source" .cpp)" "$source"
done
