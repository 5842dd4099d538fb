#!/bin/sh
# Builds the stand-in of the second review's cases into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
# shellcheck disable=SC2046
cc -std=gnu11 -O1 -g -Wall -Wextra -o target/review-2/standin \
    review/stand-in-2/*.c $(pkg-config --cflags --libs jansson)
