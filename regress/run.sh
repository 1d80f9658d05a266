# Runs the named test programs, TEST_JOBS (default 1) at a time, and prints
# 'N passed, N failed' as its last line.  Entries of KNOWN-RED.txt of the form
# "red: TEST-PROGRAM" may fail; they are printed.  The whole output of a failed
# test, known or not, is kept in BUILD-DIRECTORY/failed/TEST.log.
# usage: run.sh BUILD-DIRECTORY TEST ...
out=$1
shift
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/$out/failed"
results=$(mktemp -d)
printf '%s\n' "$@" | xargs -P "${TEST_JOBS:-1}" -I{} \
	sh "$root/regress/run_one.sh" "$root" "$out" "$results" {}
passed=$(ls "$results" | grep -c '\.passed$')
red=$(ls "$results" | grep -c '\.red$')
failed=$(($# - passed - red))
rm -rf "$results"
test "$red" = 0 || echo "known red: $red"
echo "$passed passed, $failed failed"
test "$failed" = 0 && test "$passed" -gt 0
