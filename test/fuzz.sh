#!/usr/bin/env bash
# A short seeded run of the fuzz targets.
set -euo pipefail
"$(dirname "$0")/../scripts/fuzz"
