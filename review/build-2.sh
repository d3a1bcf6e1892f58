#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 to review/8 start, with the Go toolchain
# alone. The deploy file's build has to run too.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
mkdir -p ../../target
go build -o ../../target/review-2 .
