#!/usr/bin/env bash
# Scores each site twice and hunts 40 days on it with half of the cores, and prints one table against the
# committed figures. Usage: tools/measure.sh BENCH WHY SITE... [--keep]
# With --keep the new figures go to docs/figures.tsv.
set -euo pipefail
cd "$(dirname "$0")/.."
if (($# < 3)); then
    echo "usage: $0 BENCH WHY SITE... [--keep]" >&2
    exit 2
fi
bench=$1
why=$2
shift 2
keep=no
sites=()
for word in "$@"; do
    case $word in
    --keep) keep=yes ;;
    *) sites+=("$word") ;;
    esac
done
jobs=$(($(nproc) / 2))
figures=docs/figures.tsv
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
"$bench" build
for site in "${sites[@]}"; do
    name=$(basename "$site" .toml)
    for play in 1 2; do
        "$bench" score "$site" --jobs "$jobs" --why "$why" >"$work/$name.score.$play" 2>&1 || true
        grep -E 'GATE|BROKEN' "$work/$name.score.$play" | sed "s/^/$name: /"
    done
    "$bench" hunt "$site" --days 40 --jobs "$jobs" --why "$why" >"$work/$name.hunt" 2>&1 || true
    grep -E 'BROKEN|with a rule broken' "$work/$name.hunt" | sed "s/^/$name: /"
    # Columns of a day's row: name, machines, score, worth, served.
    awk -v site="$name" '$1 ~ /^(quiet|trouble|scale)-[0-9]+$/ {
            worth[$1] += $4; served[$1] += $5; plays[$1]++ }
        END { for (day in worth)
            printf "%s\t%s\t%.3f\t%.3f\n", site, day, worth[day] / plays[day], served[day] / plays[day] }' \
        "$work/$name".score.* | sort >>"$work/figures.tsv"
done
printf 'site\tday\tworth\tserved\tworth before\n'
awk -F '\t' 'FILENAME == ARGV[1] { before[$1, $2] = $3; next }
    { printf "%s\t%s\n", $0, (($1, $2) in before) ? before[$1, $2] : "-" }' \
    <(cat "$figures" 2>/dev/null) "$work/figures.tsv"
if [ "$keep" = yes ]; then
    cp "$work/figures.tsv" "$figures"
fi
