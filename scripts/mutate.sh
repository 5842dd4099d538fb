#!/bin/sh
# usage: mutate.sh SOURCE OUTPUT SED...
# Writes a copy of SOURCE, changed by the sed expressions in turn, to OUTPUT.
# Fails if one of them changes nothing.
set -eu
source=$1 output=$2
shift 2
cp "$source" "$output.tmp"
for expression in "$@"; do
	sed "$expression" "$output.tmp" >"$output.next"
	if cmp -s "$output.tmp" "$output.next"; then
		echo "mutate.sh: no match for $expression" >&2
		exit 1
	fi
	mv "$output.next" "$output.tmp"
done
mv "$output.tmp" "$output"
