#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
[ -x target/review/rig ] && [ -x target/carawaycross ] || { echo "build first" >&2; exit 2; }
target/review/rig history "$folder" "$here/record.txt"
