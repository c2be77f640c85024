#!/usr/bin/env bash
# Runs the case; exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:.:review PYTHONDONTWRITEBYTECODE=1
exec timeout --kill-after=2 118 python3 review/10/case.py
