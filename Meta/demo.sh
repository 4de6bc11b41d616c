#!/usr/bin/env bash
# Builds the programs and runs both deployments on loopback: a training step of
# several groups, live calls beside it, one weight change in the middle.
set -euo pipefail
cd "$(dirname "$0")/.."

Meta/install-dependencies.sh
cmake --preset release >/dev/null
cmake --build --preset release --target carobbank carobbank-sidecar carobbank-stand-in
exec python3 Benchmarks/Lab/demo.py "$@"
