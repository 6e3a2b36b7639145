#!/usr/bin/env bash
# Prepares the stand-ins of the scripts in review/7 to review/10. They are Python programs (standard library only), so nothing is compiled
# into the repository; this checks that the interpreter is there and that it accepts them.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing; it is one of .ci/packages" >&2; exit 1; }
for it in lib-2/*.py [0-9]*/case.py; do
    [ -e "$it" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$it"
done
echo "stand-ins checked"
