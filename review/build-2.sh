#!/bin/bash
# Builds the programs of the scripted cases 6 to 10, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2/bed-2 ./review/bed-2
