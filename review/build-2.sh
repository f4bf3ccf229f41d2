#!/bin/sh
# Builds the stand-ins that the scripts in review/6 to review/10 start: they
# are Python without dependencies, so that compiling them shows all that can
# be missing. The programs themselves come from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
test -d target/deps
python3 -c 'import sys; assert sys.version_info >= (3, 11)'
for file in review/common-2/*.py review/6/*.py review/7/*.py review/8/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
