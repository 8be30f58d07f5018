#!/usr/bin/env bash
# The review's stand-ins are Python files that use the standard library only: nothing to compile. The programs come
# from the build of the deploy file (target/).
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m py_compile review/common/fleet.py review/*/case.py
test -x target/bin/hibiscus-entry && test -x target/bin/hibiscus-agent
