#!/usr/bin/env bash
# Builds the stand-ins and the driver of the scripts of the third review.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-3/rig3 ./review/rig3
