#!/usr/bin/env bash
# Runs the case once: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs the same without the disruption.
set -u
cd "$(dirname "$0")"
exec python3 case.py "$PWD"
