#!/bin/sh
# A second way to the same fault; run.sh is the case.
exec python3 "$(dirname "$0")/fan_out.py"
