#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the scripts into target/review; needs nothing but the declared packages.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
jobs=()
for source in review/[1-5]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -g -Wall -Wextra -o "target/review/case-$number" "$source" -lpthread &
    jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
