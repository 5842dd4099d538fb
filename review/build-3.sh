#!/bin/bash
# Builds the stand-ins of the third review into target/review-3, after the build
# of the deploy file, whose libraries they use.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-3
# shellcheck disable=SC2046
cc -std=gnu11 -O1 -g -Wall -Wextra -Iinclude -Ireview/rig-3 \
    -o target/review-3/rig review/rig-3/*.c \
    target/src/net/libmlk_net.a target/src/wire/libmlk_wire.a \
    target/src/core/libmlk_core.a target/src/base/libmlk_base.a \
    $(pkg-config --cflags --libs libwebsockets jansson glib-2.0 libtirpc \
	libxxhash) -lm
