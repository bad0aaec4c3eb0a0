#!/bin/sh
# Builds what the scripts of review/11 to review/15 start beside the program of
# the deploy file. Their stand-ins are Python programs that use the standard
# library only, so that this checks that they can be compiled.
set -eu
cd "$(dirname "$0")/.."
command -v python3 >/dev/null || {
	echo "python3 is needed" >&2
	exit 1
}
for file in review/standin3.py review/runner3.py review/1[1-5]/case.py review/more-3/*.py; do
	[ -e "$file" ] || continue
	python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
