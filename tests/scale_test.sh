#!/bin/bash
# A scale run from its words to its end: bad scripts end with file, line, key and exit 2 and start nothing; the
# small run holds all its verdicts; one that is interrupted, or passes its memory, leaves neither process nor file.
set -u
rig=$1 scripts=$2
dir=$(mktemp -d)
pid=
trap '[ -n "$pid" ] && kill -9 "$pid" 2> /dev/null; rm -rf "$dir"' EXIT
failed=0
say() { echo "$1"; failed=1; }
export TMPDIR=$dir/tmp
mkdir "$TMPDIR"
# Processes of a run are told by the folder that they are given, which is ours alone.
echo "$TMPDIR" > "$dir/pattern"  # not among grep's own words
left() { grep -lzaFf "$dir/pattern" /proc/[0-9]*/cmdline 2> /dev/null | wc -l; }
nothing_left() {
  for _ in $(seq 400); do [ "$(left)" -eq 0 ] && break; sleep 0.05; done
  [ "$(left)" -eq 0 ] || say "$1: processes are left"
  [ -z "$(ls "$TMPDIR")" ] || say "$1: files are left: $(ls "$TMPDIR")"
}
refused() {  # text, then the script on standard input
  local out got
  cat > "$dir/bad.toml"
  out=$("$rig" scale "$dir/bad.toml" 2>&1)
  got=$?
  [ $got -eq 2 ] || say "a bad script ended with $got, not 2: $out"
  case $out in "$dir/bad.toml:$1"*) ;; *) say "it did not say '$1': $out" ;; esac
  case $out in *processes,*) say "something was started: $out" ;; esac
  nothing_left "a bad script"
}
refused '3: scale.to_a_process: the run would be' << 'T'
[scale]
hollow = 5000
to_a_process = 5
T
refused '2: scale.services: there is no service; give 1 or more' << 'T'
[scale]
services = 0
T
refused '4: scale.servers_by_zone: the zones don'"'"'t add up' << 'T'
[scale]
servers = 30
zones = 2
servers_by_zone = [10, 10]
T
refused '1: not TOML' <<< '[scale'
"$rig" scale "$dir/none.toml" > "$dir/out" 2>&1
[ $? -eq 2 ] || say "a script that isn't there did not end with 2"
"$rig" scale "$scripts/small.toml" --program "$dir/none" > "$dir/out" 2>&1
[ $? -eq 2 ] || say "a program that isn't there did not end with 2"

"$rig" scale "$scripts/small.toml" --seed 3 --quiet --out "$dir/kept" > "$dir/out" 2>&1 || say "the small run: $(cat "$dir/out")"
[ "$(grep -c '^ok ' "$dir/out")" -eq 8 ] || say "not eight verdicts hold: $(cat "$dir/out")"
grep -q '"holds" : true' "$dir/kept/verdict.json" || say "no verdict.json"
nothing_left "the small run"
"$rig" scale "$scripts/feed.toml" --seed 3 --quiet > "$dir/out" 2>&1 || say "the run with the feed: $(cat "$dir/out")"
[ "$(grep -c '^ok ' "$dir/out")" -eq 8 ] || say "not eight verdicts hold with the feed: $(cat "$dir/out")"
nothing_left "the run with the feed"

sed 's/^real = 2/real = 2\nmost_mb = 1/' "$scripts/small.toml" > "$dir/tight.toml"
"$rig" scale "$dir/tight.toml" --quiet > "$dir/out" 2>&1
[ $? -eq 1 ] || say "too much memory did not end with 1"
grep -q 'scale.most_mb = 1' "$dir/out" || say "too much memory was not named: $(cat "$dir/out")"
nothing_left "too much memory"

"$rig" scale "$scripts/small.toml" > "$dir/out" 2>&1 &
pid=$!
for _ in $(seq 1200); do grep -q 'processes,' "$dir/out" && break; sleep 0.05; done
kill -TERM $pid
wait $pid
[ $? -eq 1 ] || say "an interrupted run did not end with 1"
grep -q 'interrupted' "$dir/out" || say "an interrupted run did not say so: $(cat "$dir/out")"
nothing_left "an interrupted run"

"$rig" scale "$scripts/small.toml" > "$dir/out" 2>&1 &
pid=$!
for _ in $(seq 1200); do grep -q 'processes,' "$dir/out" && break; sleep 0.05; done
kill -KILL $pid
wait $pid 2> /dev/null
pid=
for _ in $(seq 400); do [ "$(left)" -eq 0 ] && break; sleep 0.05; done
[ "$(left)" -eq 0 ] || say "a killed run leaves processes"
exit $failed
