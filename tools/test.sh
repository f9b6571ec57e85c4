#!/usr/bin/env bash
# Sets up, builds and runs every check: tests, models, formatter and linter.
set -euo pipefail
cd "$(dirname "$0")/.."
bash tools/setup.sh
bash tools/build.sh
bash tools/check_format.sh
bash tools/check_lint.sh
if [ -s KNOWN-RED.txt ]; then
    echo "Known to fail, passed over:"
    cat KNOWN-RED.txt
fi
ctest --test-dir build --output-on-failure --timeout 240 -j 4
