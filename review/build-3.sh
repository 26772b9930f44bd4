#!/bin/sh
# Builds the stand-ins of the third review, without the network. Their sources use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/kit review/kit-3/main.rs
