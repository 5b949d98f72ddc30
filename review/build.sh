#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases.
set -euo pipefail
cd "$(dirname "$0")"
out=../target/review
mkdir -p "$out"
c++ -std=c++20 -O1 -g -pthread -Wall -Wextra -o "$out/standin" standin.cc cases.cc
