#!/usr/bin/env bash
# The scripts start stand-ins in Python, from review/lib, and the program that the deploy file builds. This only checks both.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 or later is needed" >&2; exit 1; }
python3 -c 'import ast, sys; [ast.parse(open(f).read(), f) for f in sys.argv[1:]]' lib/*.py [0-9]/*.py
test -x ../target/bin/acaciaraild || { echo "target/bin/acaciaraild is missing: run the build of the deploy file" >&2; exit 1; }
