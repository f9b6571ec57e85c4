#!/usr/bin/env bash
# Regenerates the committed codec of the peer messages. Needs the package flatbuffers-compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --cpp-std c++17 --scoped-enums --gen-object-api --gen-mutable -o libs/wire/generated/wire \
    libs/wire/schema/peer_message.fbs
