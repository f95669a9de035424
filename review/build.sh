#!/usr/bin/env bash
# Builds the stand-ins and the player of the scripts; it needs only the standard library.
set -euo pipefail
cd "$(dirname "$0")/stand"
go build -o ../../target/review-stand .
