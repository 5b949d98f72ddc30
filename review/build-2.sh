#!/usr/bin/env bash
# Builds the stand-ins of the scripts of this review into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra review/stage-2.cc review/cases-2.cc -o target/review-2/cases-2
