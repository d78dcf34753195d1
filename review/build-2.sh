#!/usr/bin/env bash
# Builds the stand-in that the scripts of this review start, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread review/stand-in-2/*.cpp -o target/review-2/stand-in
