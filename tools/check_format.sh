#!/usr/bin/env bash
# Fails when a source file is not formatted as .clang-format says.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard '*.cpp' '*.h' | grep -v '_generated\.h$' |
    xargs clang-format --dry-run --Werror
