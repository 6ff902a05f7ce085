#!/bin/sh
# Builds what the scripts of cases 6 to 10 start beside the program of the
# deploy file. The stand-ins are Python of the standard library, so this only
# checks that they compile; it needs no network.
set -eu
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import glob, sys
assert sys.version_info >= (3, 8), sys.version
for name in sorted(glob.glob("support-2/*.py") + glob.glob("[6-9]/case.py") + glob.glob("10/case.py")):
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
    print("ok", name)
PYTHON
