#!/usr/bin/env bash
# A short run of the fuzz targets with a fixed seed.
set -euo pipefail
"$(dirname "$0")/../scripts/fuzz"
