# Demonstration with stand-ins: three instances in two availability zones
# stream long completions while an engine is killed and one instance is stopped
# gracefully; then a booking is sent twice with one idempotency key.  The token
# chain of every answer is verified.  usage: demo.sh DIRECTORY-OF-PROGRAMS
set -u
bin=$1
dir=$(mktemp -d)
pids=
key="Bearer demo-key"

stop_all()
{
	for pid in $pids; do
		kill -9 "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$dir"
}
trap stop_all EXIT

fail()
{
	echo "FAILED: $*"
	tail -n 5 "$dir"/*.log
	exit 1
}

# start NAME PROGRAM ARGUMENT ...: sets pid_NAME
start()
{
	name=$1
	program=$2
	shift 2
	"$bin/$program" "$@" 2>"$dir/$name.log" &
	eval "pid_$name=$!"
	pids="$pids $!"
}

port=${DEMO_PORT:-27300}
next_address()
{
	port=$((port + 1))
	address=127.0.0.1:$port
}

next_address
platform=$address
start platform platformd -l "$platform"
{
	cat <<-END
	[cluster]
	cursor_key = "demo-cursor-key-0123"
	entries_ttl_s = 1
	[[model]]
	name = "kola"
	[[service]]
	name = "kola-llm"
	kind = "model"
	model = "kola"
	resume = "latency"
	[[service]]
	name = "booking-api"
	kind = "plain"
	idempotent = ["GET /"]
	[[organisation]]
	name = "lagos-air"
	key = "demo-key"
	max_running = 400
	END
	for i in 1 2 3 4; do
		next_address
		start "engine$i" engined -l "$address" --token-ms=20 --slots=64
		cat <<-END
		[[endpoint]]
		name = "engine$i"
		service = "kola-llm"
		address = "$address"
		zone = "zone-$((i % 2 + 1))"
		slots = 64
		END
	done
	next_address
	service=$address
	start service serviced -l "$address"
	cat <<-END
	[[endpoint]]
	name = "booking1"
	service = "booking-api"
	address = "$address"
	zone = "zone-1"
	END
} >"$dir/demo.toml"

peers=
for i in 1 2 3; do
	next_address
	eval "control$i=$address"
	peers="$peers${peers:+, }\"$address\""
done
for i in 1 2 3; do
	eval "control=\$control$i"
	next_address
	eval "operator$i=$address"
	cat >"$dir/fleetd$i.toml" <<-END
	instance = "instance$i"
	zone = "zone-$((i % 2 + 1))"
	control_address = "$control"
	operator_address = "$address"
	platform_address = "$platform"
	peers = [$peers]
	END
	next_address
	eval "entry$i=$address"
	entry=$address
	next_address
	cat >"$dir/entryd$i.toml" <<-END
	instance = "instance$i"
	zone = "zone-$((i % 2 + 1))"
	fleet_address = "$control"
	listen_address = "$entry"
	operator_address = "$address"
	platform_address = "$platform"
	END
	start "fleetd$i" cdmfleetd -f "$dir/fleetd$i.toml"
	start "entryd$i" cdmentryd -f "$dir/entryd$i.toml"
done

echo "Three instances in two availability zones, four engines and one booking"
echo "service are running.  Putting the operators' file in force:"
tries=0
until "$bin/cdmctl" -s "$operator1" apply "$dir/demo.toml" >"$dir/apply" 2>&1
do
	tries=$((tries + 1))
	test $tries -lt 40 || fail "apply: $(cat "$dir/apply")"
	sleep 0.25
done
tail -n 1 "$dir/apply"
tries=0
until curl -s -m 2 -H "Authorization: $key" "http://$entry1/v1/entries" |
	grep -q 'instance3.*\|.*instance2'; do
	tries=$((tries + 1))
	test $tries -lt 40 || fail "no entries"
	sleep 0.25
done
echo "Instance 1 tells the callers of lagos-air which addresses to use:"
curl -s -m 2 -H "Authorization: $key" "http://$entry1/v1/entries"
echo

echo "24 callers ask for 500 tokens each.  Meanwhile engine 2 is killed and"
echo "instance 3 is stopped gracefully."
"$bin/cdmload" -e "$entry1" -e "$entry2" -k demo-key -m kola -n 24 \
	--max-tokens=500 >"$dir/load" 2>"$dir/load.log" &
load=$!
sleep 3
kill -9 "$pid_engine2"
echo "Engine 2 has been killed."
sleep 2
kill -TERM "$pid_entryd3" "$pid_fleetd3"
echo "Instance 3 has been told to leave."
wait $load
load_status=$?
test $load_status = 0 || fail "callers: $(cat "$dir/load" "$dir/load.log")"
grep -E '^(completed|broken|wrong|restarts|first_token_p95|gap_p95|longest_gap_max) ' \
	"$dir/load"
grep -q '^completed 24 ' "$dir/load" || fail "not every answer was whole"
echo "Every answer was whole: 500 tokens each, each following from the text"
echo "before it, none missing, repeated or of another generation."
wait "$pid_entryd3" || fail "instance 3 did not exit in order"
echo "Instance 3 finished what it had and left with exit status 0."

book()
{
	curl -s -m 5 -H "Authorization: $key" -H 'Idempotency-Key: escort-1' \
		-d '{"traveller":"A. Okafor","gate":"E4"}' \
		"http://$1/services/booking-api/escorts"
}
first=$(book "$entry1")
second=$(book "$entry2")
test -n "$first" && test "$first" = "$second" || fail "$first / $second"
curl -s -m 2 "http://$service/runs" | grep -q '"escort-1":1' ||
	fail "the booking did not run exactly once"
echo "An escort was booked twice with one key, at two instances: it ran once,"
echo "and both callers got the same answer."

request=$(grep -h '"msgid": *"moved"' "$dir"/entryd[12].log |
	grep -o 'cmpl-[0-9a-f]*' | head -n 1)
test -n "$request" || fail "no generation moved"
echo "What happened to one of the drafts that engine 2 was working on:"
"$bin/cdmctl" -s "$operator1" explain "$request" || fail "explain"
echo "The fleet as instance 1 sees it:"
"$bin/cdmctl" -s "$operator1" status || fail "status"
echo "The demo has passed."
