#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, into target/review-2/. Needs a compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/*/Case.cpp; do
    number=$(basename "$(dirname "$case")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/case-$number" "$case" review/standin-2/*.cpp
done
