#!/bin/sh
# Builds the stand-ins that the scripts of the second review start.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -buildvcs=false -o target/review2-lab ./review/_lab2
