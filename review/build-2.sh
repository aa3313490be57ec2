#!/bin/bash
# Builds the stand-ins of the cases 6 to 10, after the `build` line of the deploy file. They use the standard library
# only; the interpreter is the one that the deploy file's build made.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins_2.py review/bad_clients_2.py review/[6-9] review/10
