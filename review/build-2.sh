#!/bin/sh
# Builds the stand-ins of the second review, cases 4 to 8. Run the build of deploy/system.toml first.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2/standin ./review/standin-2
