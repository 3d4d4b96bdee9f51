#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 plays it without the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/stalequota
[ -x "$program" ] && [ -x target/bin/citronspard ] || { echo "build first: the deploy file, then review/build-2.sh"; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -s KILL 115 "$program" review/10 "$folder"
result=$?
[ "$result" -le 1 ] && exit "$result"
exit 2
