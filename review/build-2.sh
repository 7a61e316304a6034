#!/bin/sh
# Checks that the stand-ins of cases 4 to 8 can be loaded. They use nothing but
# Python's standard library, so there is nothing to build.
set -eu
cd "$(dirname "$0")"
for file in stage_2.py [4-8]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
