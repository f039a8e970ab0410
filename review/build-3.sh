#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: they are Python 3.11 without packages, so that this only
# checks that each of them can be compiled.
set -eu
cd "$(dirname "$0")"
python3 -c '
import sys
for path in sys.argv[1:]:
    with open(path) as f:
        compile(f.read(), path, "exec")
' lib3/*.py 1[1-5]/*.py
