#!/usr/bin/env bash
# Builds the stand-ins of the second review: Python of the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
for path in deployment_2.py 6 7 8 9 10; do
    if [ -e "$path" ]; then
        python3 -m compileall -q "$path"
    fi
done
