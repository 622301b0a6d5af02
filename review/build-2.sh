#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, after the build of the
# deploy file. They contain the project's own stand-in of the store.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin2 ./review/standin2
