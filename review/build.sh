#!/bin/sh
# Builds the stand-ins and clients of the scripted cases. They need no library.
set -e
cd "$(dirname "$0")/.."
go build -o review/bin/lab ./review/_lab
