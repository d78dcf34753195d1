#!/usr/bin/env bash
# Builds the stand-ins and the judge of the review's scripts into review/bin/. Needs g++ and nlohmann-json3-dev, which the deploy file names.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o bin/review-judge standin/*.cpp
