#!/bin/sh
# Builds the harnesses in fuzz/ with clang and runs each on its corpus with a
# fixed seed and number of runs.  MLK_FUZZ_RUNS overrides the number of runs.
set -eu
cd "$(dirname "$0")/.."
. scripts/lib.sh
runs=${MLK_FUZZ_RUNS:-200000}

cmake -S . -B build-fuzz -DMLK_FUZZ=ON -DCMAKE_C_COMPILER=clang \
    -DCMAKE_CXX_COMPILER=clang++ >/dev/null
tmp=$(mktemp -d)
trap 'rm -rf "$tmp"' EXIT
for source in fuzz/fuzz_*.c; do
	name=$(basename "$source" .c)
	cmake --build build-fuzz -j "$(jobs_count)" --target "$name"
	# libFuzzer writes new inputs to the first directory only, so the
	# committed corpus is not changed.
	mkdir "$tmp/$name"
	"build-fuzz/fuzz/$name" -runs="$runs" -seed=1 -max_len=4096 \
	    -timeout=10 -rss_limit_mb=512 -print_final_stats=1 \
	    -artifact_prefix="$tmp/" "$tmp/$name" "fuzz/corpus/$name"
done
