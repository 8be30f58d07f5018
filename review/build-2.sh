#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are Python programs (review/common-2): nothing has to be compiled. Checks that
# they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import ast, sys
for path in sys.argv[1:]: ast.parse(open(path, encoding="utf-8").read(), path)' $(ls common-2/*.py [6-9]/*.py 10/*.py 2>/dev/null)
