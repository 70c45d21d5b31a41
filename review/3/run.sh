#!/bin/sh
# Case 3: the last tenant is taken out of the manifest; on loopback.
# TROUBLE=0 leaves the disruption out. Exit codes: 1 broken, 0 held, 2 could not run.
case "${TROUBLE:-1}" in
0) trouble=off ;;
*) trouble=on ;;
esac
exec python3 "$(dirname "$0")/play.py" --trouble "$trouble"
