#!/bin/bash
# Installs missing packages, builds, and runs load/scenarios/demo.yaml: three
# entries and ten workers under a mixed load; one agent is killed at 10 s and
# one entry at 20 s.  The last line has the counts.  Exits with 0 only if
# nothing was started twice, no answer was partial and every job was answered.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

install_packages
build build -DMLK_SANITIZE=OFF >/dev/null
exec build/load/monsoonlock-load run load/scenarios/demo.yaml \
    --bin build --prefix "demo: "
