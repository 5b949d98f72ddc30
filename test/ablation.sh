#!/usr/bin/env bash
# Checks that the patches that switch off mechanisms still apply to the sources.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/ablate --check
