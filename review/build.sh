#!/bin/sh
# Builds the stand-ins that the scripts start: Python sources, compiled only.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q common [1-5]
