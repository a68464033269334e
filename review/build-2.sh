#!/bin/sh
# Builds the programs of the cases review/6 to review/10: stand-ins of the platform that start the project's own
# programs. These are built by the command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for n in 6 7 8 9 10; do
    test -f "review/$n/case.cpp" || continue
    g++ -std=c++20 -O1 -Wall -Wextra -o "target/review-2/case$n" "review/$n/case.cpp" -lcpp-httplib -lpthread
done
