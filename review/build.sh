#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases, with the standard library alone, into target/review/. Each case uses a part
# of the common stand-ins, hence the allowed lints.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.rs; do
    number=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O -A dead_code -A unused_imports -o "target/review/case$number" "$source"
done
