#!/usr/bin/env bash
# Prepares what the cases need beside the build of the deploy file. The stand-ins are Python modules
# in review/common, of the standard library only: nothing has to be compiled, they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "the stand-ins need python3 (3.10 or later)"; exit 1; }
python3 - common/*.py [0-9]/*.py <<'END'
import ast, sys
assert sys.version_info >= (3, 10), "python 3.10 or later"
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
END
