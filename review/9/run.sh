#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")" || exit 2
target="$(cd ../.. && pwd)/target"
[ -x "$target/bramleyvm" ] && [ -x "$target/standin2" ] || { echo "build bramleyvm and run review/build-2.sh first" >&2; exit 2; }
BRAMLEYVM="$target/bramleyvm" exec "$target/standin2" gone record.txt
