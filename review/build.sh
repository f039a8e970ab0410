#!/bin/sh
# Checks the stand-ins of the scripts. They are Python 3.11 without further packages, so that nothing
# has to be built.
cd "$(dirname "$0")" || exit 1
exec python3 -B -c '
import pathlib, tomllib
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(), str(path), "exec")
    print("checked", path)
'
