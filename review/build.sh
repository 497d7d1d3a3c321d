#!/bin/sh
# Builds what the scripts start beside the program itself. The stand-ins are Python (3.11 or later, standard library only) and
# none of the project's own tools is started, so there is nothing to compile: this only checks that they can be loaded.
cd "$(dirname "$0")" || exit 1
python3 -c 'import sys, tomllib; sys.path.insert(0, "lib"); sys.dont_write_bytecode = True; import stand' || exit 1
for case in */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$case" || exit 1
done
