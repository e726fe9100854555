#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the new version is good.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/celerypin ] && [ -x target/review-3 ] || { echo "build first: deploy/system.toml, review/build-3.sh" >&2; exit 2; }
exec target/review-3 badrequests "$folder/record.txt"
