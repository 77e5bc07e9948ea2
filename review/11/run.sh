#!/bin/sh
# Exits with 1 if the rule is broken, 0 if it holds, 2 if the case cannot run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3 ] && [ -x target/bramleythread ] || exit 2
exec target/review-3 takeover review/11
