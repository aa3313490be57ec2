#!/bin/sh
# The stand-ins are Python scripts that need the standard library only, so nothing is compiled or installed. This checks
# that the interpreter of the deploy file's build is there and can read each of them.
set -eu
cd "$(dirname "$0")/.."
for file in review/*.py review/*/*.py; do
    .venv/bin/python -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
