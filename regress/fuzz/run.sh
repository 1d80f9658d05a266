# Runs the named fuzz targets over their corpora and prints a line for each;
# exits with 1 if one failed.  The corpora are not modified: new inputs go to a
# temporary directory, an input that crashes a target to the build directory.
# RUNS and SEED in the environment set the number of runs and the seed.
# usage: run.sh BUILD-DIRECTORY TARGET ...
out=$1
shift
runs=${RUNS:-20000}
seed=${SEED:-1}
failed=0
scratch=$(mktemp -d)
# Address randomization would change the inputs that are tried.
fixed="setarch -R"
$fixed true 2>/dev/null || fixed=
for t in "$@"; do
	mkdir -p "$scratch/$t"
	if timeout -k 5 300 $fixed "$out/bin/$t" -runs="$runs" -seed="$seed" \
		-max_len=4096 -timeout=10 -reload=0 -artifact_prefix="$out/$t-" \
		"$scratch/$t" "regress/fuzz/corpus/${t#fuzz_}" \
		>"$scratch/log" 2>&1 </dev/null; then
		echo "ok    $t: $(sed -n 's/^Done \([0-9]* runs\).*/\1/p' \
			"$scratch/log"), $(sed -n \
			's/^#[0-9]*.*DONE *cov: \([0-9]*\).*/\1 edges/p' \
			"$scratch/log")"
	else
		failed=1
		echo "FAIL  $t (RUNS=$runs SEED=$seed)"
		tail -n 40 "$scratch/log"
	fi
done
rm -rf "$scratch"
exit "$failed"
