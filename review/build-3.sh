#!/usr/bin/env bash
# Prepares the stand-ins of review/11 to review/15. They are Python (python3 of scripts/packages.txt, standard library only): nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
command -v python3 > /dev/null || { echo "python3 is missing" >&2; exit 1; }
python3 - <<'PY'
import ast
import glob
for path in glob.glob('review/standin-3/*.py') + glob.glob('review/1[1-5]/*.py'):
    with open(path) as source:
        ast.parse(source.read(), path)
PY
