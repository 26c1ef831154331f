#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start beside the project's programs: one program without
# dependencies, which has the cases and their stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/review-2 review/standins-2/main.rs
