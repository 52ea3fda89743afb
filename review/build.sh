#!/usr/bin/env bash
# Builds what the scripts start beside the program of the deploy file. The stand-ins are Python programs that need
# only the standard library, so nothing is compiled; this checks that they can be read.
set -eu
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
python3 - lib/*.py [1-5]/*.py <<'EOF'
import sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sys.argv[1:]:
    compile(open(path, encoding="utf-8").read(), path, "exec")
EOF
