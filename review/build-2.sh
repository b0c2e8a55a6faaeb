#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the system.
# The stand-ins are plain Python of the standard library: they are checked only.
cd "$(dirname "$0")" || exit 2
exec python3 -B - support-2/deployment.py support-2/lasting.py <<'EOF'
import pathlib
import sys

for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_bytes(), name, "exec")
EOF
