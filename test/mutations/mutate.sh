#!/bin/sh
# mutate.sh SCRIPT SOURCE OUT: writes a deliberately broken copy of a source file.
# Fails if the script changes nothing, as the mutation test would then run the
# unchanged code.
set -eu
sed -f "$1" "$2" >"$3"
if cmp -s "$2" "$3"; then
	rm -f "$3"
	echo "$1 matches nothing in $2" >&2
	exit 1
fi
