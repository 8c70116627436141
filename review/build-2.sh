#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They need only Python's standard library.
cd "$(dirname "$0")" && exec python3 -m compileall -q common-2
