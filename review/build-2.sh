#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/8 start. Needs no network and no library.
cd "$(dirname "$0")/.." || exit 1
mkdir -p target/review-2 && rustc --edition 2024 -O review/stand-in-2/main.rs -o target/review-2/stand-in
