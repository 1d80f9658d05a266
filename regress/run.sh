# Runs the named test programs and prints 'N passed, N failed' as its last line.
# Entries of KNOWN-RED.txt of the form "red: TEST-PROGRAM" may fail; they are
# printed.  The whole output of a failed test, known or not, is kept in
# BUILD-DIRECTORY/failed/TEST.log.  usage: run.sh BUILD-DIRECTORY TEST ...
out=$1
limit=${TEST_LIMIT_S:-300} # seconds; a test program that runs longer has failed
shift
root=$(cd "$(dirname "$0")/.." && pwd)
passed=0
failed=0
red=0
log=$(mktemp)
kept="$root/$out/failed"
mkdir -p "$kept"
for t in "$@"; do
	if CDM_BIN="$root/$out/bin" CDM_ROOT="$root" \
		timeout -k 5 "$limit" "$root/$out/bin/$t" >"$log" 2>&1 </dev/null; then
		passed=$((passed + 1))
		echo "ok    $t: $(grep -c '^\[       OK' "$log") cases"
		grep '^\[  PASSED' "$log"
	elif grep -q "^red: $t\$" "$root/KNOWN-RED.txt" 2>/dev/null; then
		red=$((red + 1))
		cp "$log" "$kept/$t.log"
		echo "RED   $t (known, see KNOWN-RED.txt)"
	else
		failed=$((failed + 1))
		cp "$log" "$kept/$t.log"
		echo "FAIL  $t, whole output in $out/failed/$t.log"
		tail -n 60 "$log"
	fi
done
rm -f "$log"
test "$red" = 0 || echo "known red: $red"
echo "$passed passed, $failed failed"
test "$failed" = 0 && test "$passed" -gt 0
