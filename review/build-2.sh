#!/bin/sh
# Builds what the scripts of the second review (cases 4 to 8) start beside the service itself.
# Their stand-ins are Python programs of the standard library alone (common-2/kit.py): there is
# nothing to compile, so this checks that they can run here.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
python3 -B - <<'CHECK' || exit 2
import ast, glob, sys
if sys.version_info < (3, 10):
    sys.exit("python3 is older than 3.10")
for path in ["common-2/kit.py", *sorted(glob.glob("[4-8]/case.py"))]:
    with open(path) as file:
        ast.parse(file.read(), path)
CHECK
