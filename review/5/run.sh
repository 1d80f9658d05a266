#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
dir=$(cd "$(dirname "$0")" && pwd)
case=build/review/case$(basename "$dir")
cd "$dir/../.." || exit 2
[ -x target/bin/cdmproxyd ] && [ -x "$case" ] || exit 2
timeout -k 5 110 "$case" "$dir"
status=$?
[ $status -le 1 ] || status=2
exit $status
