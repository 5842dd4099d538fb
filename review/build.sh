#!/bin/sh
# Prepares the stand-ins of the review's scripts.  They are Python modules with
# the standard library only (python3 comes with libglib2.0-dev, a package of the
# deploy file), so there is nothing to compile; this checks that they load.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
for file in rig/*.py [1-5]/*.py; do
	[ -f "$file" ] || continue
	python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
echo "stand-ins are ready"
