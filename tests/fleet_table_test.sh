#!/bin/bash
# tools/fleet_table adds up the logs of two proxies by second, and says what is wrong with others.
set -euo pipefail
tool=$1/tools/fleet_table
dir=$(mktemp -d); trap 'rm -rf "$dir"' EXIT
line() { echo "$1 dappletiller: passed: $2 in, 3 served, 1 refused, 0 failed, 0 left, 4 open; sent $3, dialled 2; ended 3 ok, 0 error, 0 turned away, 1 timed out, 5 unreachable, 0 reset, 0 given up, 0 not sent; list calls 6, failed 2, answered $4 s ago"; }
{ line 1.5 10 7 0.5; echo "1.6 dappletiller: started as n0"; line 3.1 1 1 -1; } > "$dir/a"
line 1.9 20 8 4.5 > "$dir/b"
got=$("$tool" "$dir/a" "$dir/b" | tr -s ' ')
want='second in served refused failed left sent dialled timedout unreachable reset givenup turnedaway listcalls listfailed oldest proxies
1 30 6 2 0 0 15 4 2 10 0 0 0 12 4 4.5 2
2 0 0 0 0 0 0 0 0 0 0 0 0 0 0 0 0
3 1 3 1 0 0 1 2 1 5 0 0 0 6 2 0 1'
[ "$got" = "$want" ] || { printf 'got:\n%s\n' "$got"; exit 1; }
echo "nothing" > "$dir/c"
code=0; "$tool" "$dir/c" > /dev/null 2>&1 || code=$?
[ "$code" = 1 ] || { echo "a log without lines gave $code"; exit 1; }
code=0; "$tool" "$dir/none" > /dev/null 2>&1 || code=$?
[ "$code" = 2 ] || { echo "a missing log gave $code"; exit 1; }
echo "ok"
