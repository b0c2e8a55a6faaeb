#!/usr/bin/env bash
# Checks that the stand-ins compile; they need only the standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q support ./*/case.py
