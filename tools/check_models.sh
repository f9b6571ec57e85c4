#!/usr/bin/env bash
# Checks the specifications with spin: each must hold, and must fail when a guarding rule is left out.
set -euo pipefail
cd "$(dirname "$0")/.."
models=$PWD/models
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
passed=0
failed=0

# Runs one model; prints "holds" or "fails", and the number of states.
verify() { # MODEL [-DRULE]
    local folder
    folder=$(mktemp -d -p "$work")
    (
        cd "$folder"
        spin ${2:+"$2"} -a "$models/$1.pml" >generate.log
        gcc -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=4000 -w -o pan pan.c
        timeout 120 ./pan -m2000000 -n >verify.log || true
        if grep -q 'max search depth too small' verify.log && grep -q 'errors: 0' verify.log; then
            echo "incomplete"
        elif grep -q 'errors: 0' verify.log; then
            echo "holds, $(awk '/states, stored/ {print $1}' verify.log) states"
        elif grep -q 'assertion violated' verify.log; then
            echo "fails"
        else
            echo "incomplete"
        fi
    )
}

expect() { # EXPECTED MODEL [-DRULE]
    local outcome
    outcome=$(verify "${@:2}")
    echo "$2 ${3:-with every rule}: $outcome"
    if [[ $outcome == "$1"* ]]; then passed=$((passed + 1)); else failed=$((failed + 1)); fi
}

expect holds fleet
for rule in NO_WAIT NO_RECALL_ACK NO_OWN_CLOCK NO_CLIP NO_LEASE_STOP; do
    expect fails fleet "-D$rule"
done
expect holds acceptance
for rule in NO_ANNOUNCE NO_GRACE_END ADOPT_ANY; do
    expect fails acceptance "-D$rule"
done
expect holds proof
for rule in PROOF_FROM_ANSWER NO_LIFETIME; do
    expect fails proof "-D$rule"
done
expect holds relayed_proof
for rule in AGE_FROM_READ_END NOTE_AT_ANSWER ANSWER_FROM_WATCH AGE_WITHOUT_PAUSE; do
    expect fails relayed_proof "-D$rule"
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
