#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, the project's own included.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/aiohttp
python3 -m compileall -q coltsfootfront_dev review/harness2.py
PYTHONPATH=target/deps:.:review python3 -c "import harness2"
