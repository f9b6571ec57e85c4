#!/usr/bin/env bash
# Runs clang-tidy over every source file; fails on any finding.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard '*.cpp' |
    xargs -P "$(nproc)" -n 4 clang-tidy -p build --quiet 2>/tmp/clang-tidy.$$ ||
    { cat /tmp/clang-tidy.$$; rm -f /tmp/clang-tidy.$$; exit 1; }
rm -f /tmp/clang-tidy.$$
