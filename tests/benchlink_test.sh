#!/bin/bash
# The adapter as a process: a clean end of input, an empty batch, and one plain line for malformed input.
set -u
link=$1
fail() { echo "FAILED: $1"; exit 1; }
bytes() { printf '%s' "$1" | tr -d ' \n' | sed 's/../\\x&/g' > "$work/hex"; printf "$(cat "$work/hex")"; }
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

"$link" < /dev/null > "$work/out" 2> "$work/err" || fail "an empty input is a clean exit"
[ ! -s "$work/out" ] && [ ! -s "$work/err" ] || fail "an empty input says nothing"

bytes '5a5c800000000000 00000000 00000000 01000000' | "$link" > "$work/out" 2> "$work/err" || fail "empty batch"
[ "$(od -An -tx1 "$work/out" | tr -d ' \n')" = "0000000001000000" ] || fail "reply to the empty batch"

refused() {  # what, hex, pattern of the message
  bytes "$2" | "$link" > "$work/out" 2> "$work/err"
  [ $? -eq 1 ] || fail "$1: exit code"
  [ "$(wc -l < "$work/err")" -eq 1 ] || fail "$1: one line"
  grep -q "$3" "$work/err" || fail "$1: $(cat "$work/err")"
}
refused "half a header" '5a5c8000' 'input ends within a header'
refused "body cut off" '5a5c800000000000 3a000000 05000000 0c000000 18' 'batch 12: input ends within the batch'
refused "false length" '5a5c800000000000 ffffffff 01000000 0d000000 18' 'batch 13: input ends within the batch'
refused "unknown code" '5a5c800000000000 04000000 02000000 0e000000 180300 63' 'batch 14: unknown event code 99'
refused "unborn instance" '5a5c800000000000 04000000 02000000 0f000000 180300 19' 'batch 15: instance 3 has an event'
refused "false count" '5a5c800000000000 03000000 ffffffff 10000000 180300' 'batch 16: the header counts more records'
refused "clock goes back" '5a5c800000000000 00000000 00000000 01000000 0000000000000000 00000000 00000000 02000000' \
  'batch 2: the clock went back'
echo "all adapter checks passed"
