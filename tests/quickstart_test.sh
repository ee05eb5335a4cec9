#!/usr/bin/env bash
# The newcomer's first command, on ports of its own and without building again.
set -euo pipefail
exec "$(dirname "$0")/../tools/quickstart" --no-build --bin "$1" --port-base 21400
