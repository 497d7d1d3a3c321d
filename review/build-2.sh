#!/bin/sh
# Builds the stand-ins of the second review's scripts. They are Python, so there is nothing to translate: this only makes
# sure that the interpreter runs them. None of the scripts starts a stand-in of the project's own tools.
set -e
cd "$(dirname "$0")"
for file in stand-ins-2/*.py [0-9]*/case.py; do
    [ -e "$file" ] || continue
    python3 -B -c 'import ast, sys, tomllib; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
