#!/usr/bin/env bash
# Builds the scripts' programs and stand-ins into target/review/. Needs g++ and nlohmann-json3-dev,
# which the deploy file names, and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -Ireview/standins)
g++ "${flags[@]}" -c review/standins/kit.cc -o target/review/kit.o
for source in review/[1-5]/case.cc; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" "$source" target/review/kit.o -o "target/review/case-$number"
done
