#!/usr/bin/env bash
# Builds the programs and runs both deployments on loopback: training steps of
# several groups, concurrent live requests, and one weight change during the first step.
set -euo pipefail
cd "$(dirname "$0")/.."

Meta/install-dependencies.sh
cmake --preset release >/dev/null
cmake --build --preset release --target carobbank carobbank-sidecar carobbank-stand-in
exec python3 Benchmarks/Lab/demo.py "$@"
