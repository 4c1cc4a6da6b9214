#!/bin/bash
# The command line on the real program: words, files, a member of a fleet from start to leave, SIGHUP with a bad
# file and a good one; and that without arguments no datagram socket and no further port is opened.
set -u
program=$1
dir=$(mktemp -d)
pids=()
trap 'for p in "${pids[@]}"; do kill -9 "$p" 2> /dev/null; done; rm -rf "$dir"' EXIT
failed=0
say() { echo "$1"; failed=1; }
wants() {  # exit code, text, then the command
  local code=$1 text=$2 out got
  shift 2
  out=$("$@" 2>&1)
  got=$?
  [ $got -eq "$code" ] || say "'$*' ended with $got, not $code: $out"
  case $out in *"$text"*) ;; *) say "'$*' did not say '$text': $out" ;; esac
}
until_says() {  # file, text
  for _ in $(seq 400); do grep -qF -- "$2" "$1" 2> /dev/null && return 0; sleep 0.05; done
  say "$1 never said '$2': $(tail -3 "$1")"
  return 1
}

wants 0 "dappletiller 0" "$program" --version
wants 0 "serve" "$program" --help
wants 2 "subcommand" "$program" fleet
wants 2 "" "$program" nonsense
wants 1 "no answer from the console" "$program" fleet --console 127.0.0.1:1 members
wants 2 "cannot be read" "$program" check "$dir/none.toml"
printf '[settings_feed]\nmachines = "127.0.0.1:9"\nservices = "a"\n' > "$dir/feed.toml"
wants 0 "follows the settings feed" "$program" check "$dir/feed.toml"
wants 2 "feed.toml:1: control: is missing" "$program" control --operator "$dir/feed.toml"
printf '[control]\nname = "c"\nbind = "10.0.0.1:9"\n' > "$dir/control.toml"
wants 2 "control.toml:3: control.bind: is not a loopback address" "$program" control --operator "$dir/control.toml"
wants 1 "no answer from the console" "$program" settings --console 127.0.0.1:1
"$program" fleet key > "$dir/key"
grep -qE '^[0-9a-f]{64}$' "$dir/key" || say "no key: $(cat "$dir/key")"

cat > "$dir/good.toml" << TOML
log = "json"
[fleet]
name = "lab"
bind = "127.0.0.1:0"
key_file = "key"
[fleet.parts]
keepers = ["n1"]
lease_ms = 500
TOML
chmod 644 "$dir/key"
wants 2 "chmod 600" "$program" check "$dir/good.toml"
chmod 600 "$dir/key"
wants 0 "member of fleet lab" "$program" check "$dir/good.toml"
sed 's/lease_ms = 500/lease_ms = 5/' "$dir/good.toml" > "$dir/bad.toml"
wants 2 "bad.toml:8: fleet.parts.lease_ms: is out of range" "$program" check "$dir/bad.toml"

cat > "$dir/config.json" << 'JSON'
{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",
"limits":{"cores":1.0,"memory_mb":64,"sockets":256},"known":{"rev":0,"all":true,"targets":[]},
"settings":{"balancers":2,"zones":["a"],"kinds":["m"],"zone":0,"classes":[{"name":"check","aim":1,"giveUp":2,"effect":"free"}],
"registryMode":"push","tick":1000,"invariants":{"startCapacity":0.1,"cold":1000,"tipMultiple":2,"fall":1000,"graceToAnswer":1000},
"limits":{"maxAttempts":1,"mayCancel":true,"dialTimeout":1000,"connIdle":1000}}}
JSON
sockets() { for f in /proc/"$1"/fd/*; do readlink "$f"; done 2> /dev/null | sed -n 's/^socket:\[\(.*\)\]$/\1/p'; }
listed() { awk -v st="$3" 'NR==FNR{own[$1]=1;next} ($10 in own) && (st=="" || $4==st){n++} END{print n+0}' <(sockets "$1") "/proc/$1/net/$2"; }

BALANCER_CONFIG=$dir/config.json "$program" 2> "$dir/plain.log" &
plain=$!
pids+=($plain)
until_says "$dir/plain.log" "started as n1"
[ "$(listed $plain udp "")" -eq 0 ] || say "without arguments a datagram socket is open"
[ "$(listed $plain tcp 0A)" -eq 1 ] || say "without arguments not just the clients' port is open"

cp "$dir/good.toml" "$dir/operator.toml"
sed 's/"listen"/"console":"127.0.0.1:0","listen"/' "$dir/config.json" > "$dir/member.json"
BALANCER_CONFIG=$dir/member.json "$program" serve --operator "$dir/operator.toml" 2> "$dir/member.log" &
member=$!
pids+=($member)
until_says "$dir/member.log" '"text":"started as n1'
[ "$(listed $member udp "")" -eq 1 ] || say "a member has no datagram socket of its own"
console=127.0.0.1:$(sed -n 's/.*console on port \([0-9]*\).*/\1/p' "$dir/member.log")
wants 0 "n1" "$program" fleet --console "$console" members
wants 0 '"of_whole"' "$program" fleet --console "$console" members --json
wants 0 "" "$program" fleet --console "$console" watch --rounds 1
wants 1 "409" "$program" fleet --console "$console" reap nobody
until_says "$dir/member.log" "share of the quotas: 1.0000"
cp "$dir/bad.toml" "$dir/operator.toml"
kill -HUP $member
until_says "$dir/member.log" "the old configuration stays: "
sed 's/log = "json"/log = "text"/' "$dir/good.toml" > "$dir/operator.toml"
kill -HUP $member
until_says "$dir/member.log" "dappletiller: reload: $dir/operator.toml read"
wants 0 "left the fleet" "$program" fleet --console "$console" leave
until_says "$dir/member.log" "fleet: leaving"
kill -TERM $member $plain
for p in $member $plain; do
  wait $p
  code=$?
  [ $code -eq 0 ] || say "a process ended with $code after SIGTERM"
done
pids=()
exit $failed
