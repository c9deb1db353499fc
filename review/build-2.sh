#!/usr/bin/env bash
# Builds the stand-ins of the cases review/4 and up. They are Python programs of the standard library
# alone, so there is nothing to compile: this checks that the interpreter is there and reads them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - fleet2/*.py [4-8]/*.py <<'END'
import ast
import sys

assert sys.version_info >= (3, 8), "Python 3.8 or later is needed"
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
END
