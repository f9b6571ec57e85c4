#!/usr/bin/env bash
# Builds the stand-ins of the cases of this review, after the build of the deploy file, into
# target/review-2/. They need a C++20 compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[6-9]/case.cc review/10/case.cc; do
    [ -e "$source" ] || continue
    name=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -pthread -Wall -Wextra -I review/standins-2 "$source" -o "target/review-2/case-$name"
done
