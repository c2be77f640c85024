#!/usr/bin/env bash
# Builds what the scripts start: the project's stand-ins and the review's own, as compiled modules.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/aiohttp || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
PYTHONPATH=target/deps python3 -m compileall -q coltsfootfront coltsfootfront_dev review
