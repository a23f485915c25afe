#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they are Python and need no
# packages. Compiling them shows that the interpreter reads them.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for folder in common_2 6 7 8 9 10; do
    if [ -d "$folder" ]; then
        python3 -m compileall -q "$folder"
    fi
done
