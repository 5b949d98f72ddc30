#!/usr/bin/env bash
# The stand-ins of the third review are in Python and need no build; this checks that they load.
set -euo pipefail
cd "$(dirname "$0")/standins-3"
python3 -B -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 is needed"; import standins'
