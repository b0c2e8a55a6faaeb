#!/usr/bin/env bash
# Builds what the scripts of the third review start, after the build command of
# the deploy file: compiles the stand-ins and the system, and loads each once.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps || { echo "run the build of deploy/system.toml first"; exit 1; }
export PYTHONPATH=target/deps:review/support-3
export PYTHONDONTWRITEBYTECODE=1
python3 - <<'CHECK'
import importlib
import pathlib

for path in sorted(pathlib.Path("review").glob("1[1-5]/run.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
for name in ("standins", "magnoliaglade.instance", "magnoliaglade.platform"):
    importlib.import_module(name)
print("the stand-ins of the third review can be loaded")
CHECK
