#!/bin/bash
# The adapter as a process: end of input, an empty batch, and one error line for malformed input.
set -u
adapter=$1
fail() { echo "FAILED: $1"; exit 1; }
bytes() { printf '%s' "$1" | tr -d ' \n' | sed 's/../\\x&/g' > "$work/hex"; printf "$(cat "$work/hex")"; }
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

"$adapter" < /dev/null > "$work/out" 2> "$work/err" || fail "an empty input is a clean exit"
[ ! -s "$work/out" ] && [ ! -s "$work/err" ] || fail "an empty input prints nothing"

bytes '5a5c800000000000 00000000 00000000 01000000' | "$adapter" > "$work/out" 2> "$work/err" || fail "empty batch"
[ "$(od -An -tx1 "$work/out" | tr -d ' \n')" = "0000000001000000" ] || fail "reply to the empty batch"

expect_error() {  # what, hex, pattern of the message
  bytes "$2" | "$adapter" > "$work/out" 2> "$work/err"
  [ $? -eq 1 ] || fail "$1: exit code"
  [ "$(wc -l < "$work/err")" -eq 1 ] || fail "$1: one line"
  grep -q "$3" "$work/err" || fail "$1: $(cat "$work/err")"
}
expect_error "half a header" '5a5c8000' 'input ends within a header'
expect_error "body cut off" '5a5c800000000000 3a000000 05000000 0c000000 18' 'batch 12: input ends within the batch'
expect_error "false length" '5a5c800000000000 ffffffff 01000000 0d000000 18' 'batch 13: input ends within the batch'
expect_error "unknown code" '5a5c800000000000 04000000 02000000 0e000000 180300 63' 'batch 14: unknown event code 99'
expect_error "unborn instance" '5a5c800000000000 04000000 02000000 0f000000 180300 19' 'batch 15: instance 3 has an event'
expect_error "false count" '5a5c800000000000 03000000 ffffffff 10000000 180300' 'batch 16: the header counts more records'
expect_error "clock goes back" '5a5c800000000000 00000000 00000000 01000000 0000000000000000 00000000 00000000 02000000' \
  'batch 2: the clock went back'
echo "all adapter checks passed"
