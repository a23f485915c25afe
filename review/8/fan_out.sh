#!/bin/sh
# A second way to the same fault; run.sh is the case.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec python3 "$(dirname "$0")/fan_out.py"
