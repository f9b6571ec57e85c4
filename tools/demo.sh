#!/usr/bin/env bash
# Sets up, builds, starts a fleet of four instances in three failure domains with stand-ins for
# the platform and the targets, applies examples/fleet.json and sends requests with curl.
# Everything runs on 127.0.0.0/8 and is stopped at the end.
set -euo pipefail
cd "$(dirname "$0")/.."
bash tools/setup.sh
bash tools/build.sh >/dev/null

work=$(mktemp -d)
pids=()
stop_all() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap stop_all EXIT

bin=build/programs
export KNAPWEEDKNOT_TOKEN=demo-token
token_hash=$(printf %s "$KNAPWEEDKNOT_TOKEN" | sha256sum | cut -d' ' -f1)

build/tools/platform_standin/platform_standin 2>"$work/platform.log" &
pids+=($!)
build/tools/target_standin/target_standin \
    --target layout-1=127.0.2.1:9000 --target layout-2=127.0.2.2:9000 \
    --target layout-3=127.0.2.3:9000 --target register-1=127.0.2.4:9000 \
    --target register-2=127.0.2.5:9000 2>"$work/targets.log" &
pids+=($!)

start_instance() { # NAME FAILURE_DOMAIN IP
    sed -e "s/\"west-1\"/\"$1\"/; s/\"failure_domain\": \"west\"/\"failure_domain\": \"$2\"/" \
        -e "s/\(_address\": \"\)127.0.1.1:/\1$3:/" -e "s/@TOKEN_HASH@/$token_hash/" \
        examples/instance.json >"$work/$1.json"
    "$bin/knapweedknotd" --settings "$work/$1.json" --check-settings >/dev/null
    "$bin/knapweedknotd" --settings "$work/$1.json" 2>"$work/$1.log" &
    pids+=($!)
}
start_instance west-1 west 127.0.1.1
start_instance west-2 west 127.0.1.2
start_instance centre-1 centre 127.0.1.3
start_instance east-1 east 127.0.1.4

ctl() { "$bin/knapweedknotctl" --instance 127.0.1.1:8081 "$@"; }

echo "== Waiting until the instances hold all seats"
for _ in $(seq 100); do
    held=$(ctl --json status 2>/dev/null | grep -o '"lent_seats":[0-9]*' | cut -d: -f2 |
        awk '{sum += $1} END {print sum + 0}') || held=0
    [ "$held" -ge 128 ] && break
    sleep 0.2
done

echo "== Applying examples/fleet.json"
ctl apply examples/fleet.json
echo "== Making a key for print-works"
key=$(ctl key add print-works)
echo "== Addresses that callers with this key should use"
"$bin/knapweedknotctl" --instance 127.0.1.4:8080 --key "$key" addresses

request() { # DESCRIPTION CURL_ARGUMENT ...
    echo "-- $1"
    shift
    curl -sS -m 5 -D "$work/head" -o "$work/body" "$@" || true
    head -1 "$work/head"
    grep -i '^knapweedknot-' "$work/head" || true
    cut -c1-300 "$work/body"
}
echo "== Requests"
address=$("$bin/knapweedknotctl" --instance 127.0.1.4:8080 --key "$key" --json addresses |
    grep -o '"address":"[^"]*"' | head -1 | cut -d'"' -f4)
for path in /layouts/die-cut/7 /layouts/a4 /layouts/a5; do
    request "GET $path at $address" -H "Authorization: Bearer $key" "http://$address$path"
done
request "POST /codes/B-7 at $address" -X POST -d '{"code": "B-7"}' \
    -H "Authorization: Bearer $key" "http://$address/codes/B-7"
request "GET /layouts/samples/1 without a key" http://127.0.1.3:8080/layouts/samples/1
request "GET /layouts/a4 without a key" http://127.0.1.3:8080/layouts/a4
echo "== Withdrawing the key"
ctl key withdraw print-works "${key%%.*}"
request "GET /layouts/a4 with the withdrawn key" -H "Authorization: Bearer $key" \
    "http://$address/layouts/a4"
echo "== Status"
ctl status
echo "== Audit trail"
ctl audit
