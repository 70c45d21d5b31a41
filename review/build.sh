#!/bin/sh
# Builds the stand-ins of the scripts. They are Python files of this folder, so it only checks that
# the interpreter and the modules that they use are there and that the files compile; the project's
# own stand-ins (soak/) are not used.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys, http.client; assert sys.version_info >= (3, 8)'
for file in lib/*.py */play.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
