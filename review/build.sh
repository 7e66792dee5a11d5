#!/usr/bin/env bash
# Builds the stand-ins and the cases with the compiler alone, into target/review: no crate of the workspace, no dependency.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
compile="rustc --edition 2021 -O"
if [ ! "$out/libbed.rlib" -nt review/bed/bed.rs ]; then
  $compile --crate-type rlib --crate-name bed -o "$out/libbed.rlib" review/bed/bed.rs
fi
for case in review/[0-9]/case.rs; do
  number=$(basename "$(dirname "$case")")
  binary="$out/case-$number"
  if [ ! "$binary" -nt "$case" ] || [ ! "$binary" -nt "$out/libbed.rlib" ]; then
    $compile --crate-name "case_$number" --extern "bed=$out/libbed.rlib" -o "$binary" "$case"
  fi
done
