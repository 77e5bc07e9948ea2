#!/bin/sh
# Builds the stand-ins of the cases 11 to 14, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -buildvcs=false -o target/review-3 ./review/_standin3
