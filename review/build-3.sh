#!/bin/bash
# Builds the stand-ins of the scripts in review/9 to review/13. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -C opt-level=2 -o target/review-3/cases review/stand-in-3/main.rs
