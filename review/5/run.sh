#!/usr/bin/env bash
# TROUBLE: see run-case.sh.
# Runs the case "frozen-node"; TROUBLE=0 leaves the disruption out. Usage: run.sh [SEED]
exec "$(dirname "$0")/../run-case.sh" frozen-node "$(cd "$(dirname "$0")" && pwd)" "${1:-1}"
