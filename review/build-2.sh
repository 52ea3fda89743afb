#!/bin/sh
# Builds the stand-ins and callers of the scripts in review/6 to review/10, with the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/lib-2/main.rs
