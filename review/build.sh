#!/usr/bin/env bash
# Builds the stand-ins that the review's scripts start, into review/bin. Needs the build of the deploy file, whose libraries the project's own
# stand-in for the store uses.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
jobs=()
g++ "${flags[@]}" -w -DMSGPACK_NO_BOOST -DTOML_EXCEPTIONS=0 -Iinclude -Isrc -Istandins standins/sitestore/main.cpp standins/sitestore/tables.cpp \
    standins/common/faults.cpp standins/common/faultyexchange.cpp standins/common/program.cpp \
    target/libturmericplank.a target/libturmericplank_decisions.a -lnghttp2 -llog4cxx -lcrypto -lxxhash -o review/bin/turmericplank-sitestore &
jobs+=($!)
for source in review/standins/*.cpp; do
    g++ "${flags[@]}" "$source" -o "review/bin/$(basename "$source" .cpp)" &
    jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
