#!/usr/bin/env bash
# Prepares what the scripts of the cases start besides the daemon that the deploy file builds. The
# stand-ins are Python programs (python3 is in scripts/packages.txt), so it only compiles them to check.
set -euo pipefail
cd "$(dirname "$0")"
test -x ../target/bin/cloverbankd || { echo "build first: the command 'build' of deploy/system.toml" >&2; exit 1; }
python3 - <<'PROGRAM'
import pathlib
import tomllib
for path in [pathlib.Path("standins.py"), *pathlib.Path(".").glob("[123]/case.py")]:
    compile(path.read_text(), str(path), "exec")
PROGRAM
