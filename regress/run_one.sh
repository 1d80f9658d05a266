# Runs one test program for run.sh, prints its result, and leaves a file
# TEST.passed, TEST.red or TEST.failed in RESULTS.
# usage: run_one.sh ROOT BUILD-DIRECTORY RESULTS TEST
root=$1
out=$2
results=$3
t=$4
limit=${TEST_LIMIT_S:-300} # seconds; a test program that runs longer has failed
log="$results/$t.log"
if CDM_BIN="$root/$out/bin" CDM_ROOT="$root" \
	timeout -k 5 "$limit" "$root/$out/bin/$t" >"$log" 2>&1 </dev/null; then
	printf '%s\n%s\n' "ok    $t: $(grep -c '^\[       OK' "$log") cases" \
		"$(grep '^\[  PASSED' "$log")"
	: >"$results/$t.passed"
	exit
fi
cp "$log" "$root/$out/failed/$t.log"
if grep -q "^red: $t\$" "$root/KNOWN-RED.txt" 2>/dev/null; then
	echo "RED   $t (known, see KNOWN-RED.txt)"
	: >"$results/$t.red"
else
	# A leak report after a failed assertion is longer than the tail.
	printf '%s\n%s\n%s\n' "FAIL  $t, whole output in $out/failed/$t.log" \
		"$(grep '^ERROR\|^\[  ERROR\|^\[   LINE\|^\[  FAILED' "$log")" \
		"$(tail -n 60 "$log")"
	: >"$results/$t.failed"
fi
