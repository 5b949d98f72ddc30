#!/usr/bin/env bash
# run.sh [SEED]; TROUBLE=0 leaves out the disruption.
export TROUBLE=${TROUBLE:-1}
exec "$(dirname "$0")/../run-case.sh" late-syn-ack "$(cd "$(dirname "$0")" && pwd)" "${1:-1}"
