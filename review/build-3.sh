#!/bin/sh
# Builds what the scripts of this review start beside mustardcove-node. Their stand-ins are Python programs that need the
# standard library only, so there is nothing to compile; this only checks that they can be read.
set -e
cd "$(dirname "$0")"
python3 - <<'P'
import ast, glob
for path in glob.glob("support-3/*.py") + glob.glob("1[1-5]/*.py"):
    ast.parse(open(path).read(), path)
P
