#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail
packages=(
    g++ cmake ninja-build ccache clang-format clang-tidy pkg-config curl
    libevent-dev libflatbuffers-dev libboost-dev libboost-program-options-dev libboost-test-dev
    liblog4cxx-dev libexpected-dev nlohmann-json3-dev librapidcheck-dev libxxhash-dev libssl-dev
    spin
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' ||
        missing+=("$package")
done
if ((${#missing[@]} > 0)); then
    export DEBIAN_FRONTEND=noninteractive
    apt-get update -qq
    apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
