#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into build-review-2/.
set -e
cd "$(dirname "$0")/.."
mkdir -p build-review-2
flags="-std=c++17 -O1 -g -Wall -Wextra -Werror -pthread"
g++ $flags -o build-review-2/worker review/world-2/worker.cc
g++ $flags -o build-review-2/engine review/world-2/engine.cc
for n in 6 7 8 9 10; do
	if test -f review/$n/case.cc; then
		g++ $flags -o build-review-2/case$n review/$n/case.cc
	fi
done
