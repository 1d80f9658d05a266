#!/bin/sh
# Case 6.  TROUBLE=0 leaves the disruption out.  See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
test -x target/bin/cdmproxyd && test -x build-review-2/case6 &&
	test -x build-review-2/engine || exit 2
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
timeout -k 5 110 build-review-2/case6 "$dir" review/6/record.txt
rc=$?
if test -n "$KEEP_LOGS"; then cp "$dir"/*.log "$KEEP_LOGS"; fi
case $rc in
0 | 1 | 2) exit $rc ;;
*) exit 2 ;;
esac
