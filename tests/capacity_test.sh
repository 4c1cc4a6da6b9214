#!/bin/bash
# docs/CAPACITY.md is what tools/capacity reckons from docs/data: the page as it is, a page with a figure that was
# typed, data that changed, and data that can't be read.
set -u
root=$1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failed=0
say() { echo "$1"; failed=1; }
tool=$root/tools/capacity
wants() {  # exit code, text, then the words
  local code=$1 text=$2 out got
  shift 2
  out=$("$tool" "$@" 2>&1)
  got=$?
  [ $got -eq "$code" ] || say "'$*' ended with $got, not $code: $out"
  case $out in *"$text"*) ;; *) say "'$*' did not say '$text': $out" ;; esac
}
fresh() { rm -rf "$dir/data"; cp -r "$root/docs/data" "$dir/data"; cp "$root/docs/CAPACITY.md" "$dir/page.md"; }
own() { wants "$1" "$2" --data "$dir/data" --page "$dir/page.md" "${@:3}"; }

wants 0 "" --check
wants 0 "ordinary / budget"
wants 2 "usage" --nonsense
fresh
own 0 "" --check
sed -i 's/% of a core/% of a core and a bit/' "$dir/page.md"
own 1 "is not what the data say" --check
own 0 "" --write
own 0 "" --check
cmp -s "$dir/page.md" "$root/docs/CAPACITY.md" || say "a page written anew is not the page"
# A diff larger than a pipe's buffer, of which only the first lines are shown, must not change the exit code.
fresh
awk '{ print } /tools.capacity: from here/ { for (i = 0; i < 20000; ++i) print "| a row that was typed |" }' \
  "$root/docs/CAPACITY.md" > "$dir/page.md"
own 1 "is not what the data say" --check
fresh
sed -i 's/^tenants = .*/tenants = 18000/' "$dir/data/capacity.toml"
own 1 "run tools/capacity --write" --check
fresh
sed -i 's/^tenants = .*/tenants = many/' "$dir/data/capacity.toml"
own 2 "capacity.toml:" --check
fresh
rm "$dir/data/capacity-view.dat"
own 2 "capacity-view.dat cannot be read" --check
fresh
sed -i '/^# command/d' "$dir/data/capacity-tenants.dat"
own 2 "no line that begins with # command:" --check
fresh
sed -i '$s/ [^ ]*$//' "$dir/data/capacity-servers.dat"
own 2 "figures where" --check
fresh
sed -i '/tools.capacity: to here/d' "$dir/page.md"
own 2 "has not both marks" --check

# A line through known points, by hand: 10 + 2 a member, and the target's figure off it.
fresh
{ echo "# command: by hand"; echo "members cpu_percent bytes_per_s"; echo "10 1 30"; echo "20 1 50"; echo "40 1 90"; } \
  > "$dir/data/capacity-view.dat"
own 0 "| bytes, the view | by members, said in calm | 2.00 a proxy, view, 10 to 40, worst residual 0% | 3,810 B/s |"
exit $failed
