#!/usr/bin/env bash
# Builds every stand-in that the scripts in review/6 to review/10 start, into target/review-2/bin. The daemon itself comes from the
# build of the deploy file, in target/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-2 -B target/review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review-2 -j8
