#!/usr/bin/env bash
# Runs case NUMBER from the root of the repository; see the exit codes in review/standins/kit.hh.
number=$1
cd "$(dirname "$0")/.." || exit 2
[ -x "target/review/case-$number" ] || { echo "run review/build.sh first"; exit 2; }
exec timeout -k 2 110 "target/review/case-$number" "review/$number"
