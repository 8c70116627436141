#!/bin/sh
# A configuration makes a tenant isolated.
exec python3 "$(dirname "$0")/case.py"
