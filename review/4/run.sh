#!/usr/bin/env bash
# TROUBLE: see run-case.sh.
# Runs the case "foreign-entry"; TROUBLE=0 leaves the disruption out. Usage: run.sh [SEED]
exec "$(dirname "$0")/../run-case.sh" foreign-entry "$(cd "$(dirname "$0")" && pwd)" "${1:-1}"
