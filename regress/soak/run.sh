# Runs the fault soak for each seed, JOBS (default 4) at a time, with INSTANCES
# (default 3) instances.  Exits with 1 if a seed fails and keeps its log.  A seed
# may fail with the one message that an entry "red: soak seed N, MESSAGE" of
# KNOWN-RED.txt names; that is printed.
# usage: run.sh BUILD-DIRECTORY SECONDS SEED ...
out=$1
seconds=$2
shift 2
root=$(cd "$(dirname "$0")/../.." && pwd)
mkdir -p "$root/$out/soak"
printf '%s\n' "$@" | xargs -P "${JOBS:-4}" -I{} sh -c '
	log="$1/$2/soak/seed-$4.log"
	if CDM_BIN="$1/$2/bin" CDM_ROOT="$1" timeout -k 5 300 \
		"$1/$2/bin/soak_proxyd" "$4" "$3" "$5" >"$log" 2>&1 </dev/null; then
		grep "^seed" "$log"
		rm -f "$log"
	elif known=$(sed -n "s/^red: soak seed $4, //p" "$1/KNOWN-RED.txt") &&
		test -n "$known" &&
		test "$(grep "^\[  ERROR   \]" "$log")" = "[  ERROR   ] --- $known"; then
		echo "RED   seed $4 (known, see KNOWN-RED.txt), see $log"
	else
		echo "FAIL  seed $4, see $log"
		tail -n 30 "$log"
		exit 1
	fi' sh "$root" "$out" "$seconds" {} "${INSTANCES:-3}"
