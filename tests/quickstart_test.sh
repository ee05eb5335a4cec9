#!/usr/bin/env bash
# Runs tools/quickstart on other ports and without a build.
set -euo pipefail
exec "$(dirname "$0")/../tools/quickstart" --no-build --bin "$1" --port-base 21400
