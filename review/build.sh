#!/bin/sh
# The stand-ins are Python (standard library only) and need no build; this
# checks that they can be loaded.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 2; }
for file in standin.py */*.py; do
	python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' \
		"$file" || exit 2
done
