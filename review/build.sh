#!/bin/sh
# Builds the stand-ins of the cases into build/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review
g++ -std=c++17 -O1 -Wall -Wextra -pthread -c review/world/world.cc \
	-o build/review/world.o
for case in review/[1-5]/case.cc; do
	n=$(basename "$(dirname "$case")")
	g++ -std=c++17 -O1 -Wall -Wextra -pthread "$case" \
		build/review/world.o -o "build/review/case$n"
done
