#!/bin/sh
# The stand-ins are in Python: nothing to compile. Checks that the interpreter is there and reads them.
set -eu
cd "$(dirname "$0")"
for file in standins.py */case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
test -x ../build/dappletiller
