#!/bin/bash
# Kills the host that reads the store for its region while a worker leaves without a word.
# TROUBLE=0 lets the workers leave while all hosts run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2 ] || exit 2
exec target/review-2 --case reader-killed --record review/7/record.txt
