#!/bin/sh
# Checks the formatting of all C sources and headers; with --fix, formats them
# in place.
set -eu
cd "$(dirname "$0")/.."
files=$(git ls-files --cached --others --exclude-standard '*.c' '*.h')
if [ "${1:-}" = --fix ]; then
	echo "$files" | xargs clang-format -i
else
	echo "$files" | xargs clang-format --dry-run -Werror
fi
