#!/usr/bin/env bash
# The stand-ins of the third review are Python programs of the standard library: nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/rig3.py review/1[1-5]/case.py Benchmarks/Soak/http_io.py Benchmarks/Soak/store.py; do
  if [ -e "$file" ]; then
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
  fi
done
