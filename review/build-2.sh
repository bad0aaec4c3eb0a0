#!/bin/sh
# Builds what the scripts of cases 6 to 10 start beside the build of the deploy
# file: their clients, runners and store are Python programs of the standard
# library, which need no building and are checked here.
cd "$(dirname "$0")" || exit 1
python3 -B - common-2/standins.py [6-9]/case.py 10/case.py more-2/*.py <<'END'
import ast
import sys

assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
END
