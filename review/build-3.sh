#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 and later start, after the build of
# deploy/system.toml. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/ ./review/12 ./review/13 ./review/14
