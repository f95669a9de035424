#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. It comes after the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review-2 ./review/standin2
