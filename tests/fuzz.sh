#!/bin/bash
# Builds the fuzz target of the fleet's codec and runs it for a bounded number of inputs from a fixed seed.
# usage: fuzz.sh SOURCE BUILD [RUNS]
set -euo pipefail
source=$1 build=$2/fuzz runs=${3:-20000}
mkdir -p "$build/corpus"
protoc --proto_path="$source/src/membership" --cpp_out="$build" fleet.proto
clang++ -std=c++20 -O1 -g -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=all -I"$source/src" -I"$build" \
  "$source/tests/membership/codec_fuzz.cpp" "$source"/src/membership/*.cpp "$build/fleet.pb.cc" -o "$build/codec_fuzz" -lprotobuf-lite -lsodium -lpthread
"$build/codec_fuzz" -seed=1 -runs="$runs" -max_len=1400 -print_final_stats=1 "$build/corpus" "$source/tests/membership/corpus" \
  2>&1 | tail -5
