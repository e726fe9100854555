#!/bin/sh
# Builds the stand-ins that the cases 11 to 15 start. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/_standin-3
