#!/usr/bin/env bash
# Builds the stand-ins of the review cases into Build/review/. The daemon itself comes from the build command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p Build/review
for source in review/*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/standin -o "Build/review/case-$number" "$source" &
done
for job in $(jobs -p); do wait "$job"; done
