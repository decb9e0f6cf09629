#!/usr/bin/env bash
# Prepares what the cases start besides the program itself. The stand-ins are Python with its standard library alone
# (3.9 or later), so there is nothing to compile: this checks that they can run.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast, pathlib, sys
assert sys.version_info >= (3, 9), "the stand-ins need Python 3.9 or later"
for path in [pathlib.Path("standins.py"), *pathlib.Path(".").glob("*/case.py")]:
    ast.parse(path.read_text(), str(path))
PY
test -x ../target/release/wallstile || { echo "build the program first: cargo build --release"; exit 1; }
