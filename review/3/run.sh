#!/bin/sh
# Case 3 as processes on loopback; exit codes: 1 broken, 0 held, 2 could not run.
exec python3 "$(dirname "$0")/play.py"
