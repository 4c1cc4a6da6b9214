#!/bin/sh
# Builds the stand-ins of the second review. They are Python 3 scripts that use the standard library only
# (as tests/soak/soak.py does), so this compiles them once and says if the interpreter is missing.
cd "$(dirname "$0")" || exit 1
command -v python3 > /dev/null || { echo "review/build-2.sh: python3 is missing"; exit 1; }
for script in stand_2/stand.py [6-9]/case.py 10/case.py; do
  [ -e "$script" ] || continue
  PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$script" || exit 1
done
