#!/usr/bin/env bash
# Prepares the stand-ins of the cases 4 and up: they are Python of the standard library, so this checks only that they
# can be compiled. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in sitelab.py [4-8]/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
