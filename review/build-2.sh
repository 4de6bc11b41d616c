#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the program of the deploy file. Their
# stand-ins are Python modules (rig2.py and Benchmarks/Soak/http_io.py): nothing has to be compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path).read(), path)' review/rig2.py review/[6-9]*/case.py Benchmarks/Soak/http_io.py
