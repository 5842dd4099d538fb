#!/bin/sh
# usage: lint.sh [DIR]
# Runs clang-tidy on all C sources of the build in DIR (default: build), which
# does not include the harnesses in fuzz/.
set -eu
cd "$(dirname "$0")/.."
dir=${1:-build}
git ls-files --cached --others --exclude-standard '*.c' |
    grep -v '^fuzz/' |
    xargs -P "$(nproc)" -n 4 clang-tidy -p "$dir" --quiet 2>/dev/null
