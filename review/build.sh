#!/bin/sh
# The stand-ins are Python with the standard library alone, so that there is
# nothing to build but to see that they compile.
cd "$(dirname "$0")" || exit 1
exec python3 - <<'P'
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_bytes(), str(path), "exec")
    print("compiles:", path)
P
