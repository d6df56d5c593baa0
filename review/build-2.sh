#!/bin/sh
# Builds what the cases 6 to 10 start, after the build of deploy/balancer.toml: the stand-ins of this review and
# those of the project. They are Python and need no network; this compiles them and checks that they load.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins2 harness
.venv/bin/python -c 'import harness.coordination, review.standins2.platform, review.standins2.websocket'
