#!/bin/sh
# An order runs twice on a route that is marked resumable.
exec python3 "$(dirname "$0")/case.py"
