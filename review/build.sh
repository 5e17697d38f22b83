#!/bin/sh
# The stand-ins are Python modules of the standard library: only compiled here.
cd "$(dirname "$0")" && python3 -m compileall -q .
