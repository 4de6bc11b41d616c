#!/usr/bin/env bash
# The scripts' stand-ins are Python: review/rig.py and Benchmarks/Soak/http_io.py. Nothing is
# compiled; this checks that the interpreter reads them.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/rig.py review/*/case.py Benchmarks/Soak/http_io.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
test -x target/bin/carobbank || echo "note: target/bin/carobbank is missing; run the deploy file's build" >&2
