#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They are Python (3.11 or later, standard library only), so that
# there is nothing to compile: this checks the interpreter and the syntax.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast, pathlib, sys
assert sys.version_info >= (3, 11), 'Python 3.11 or later is needed'
for path in sorted(pathlib.Path('.').rglob('*.py')):
    ast.parse(path.read_text(), str(path))
PY
