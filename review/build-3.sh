#!/bin/sh
# Builds the stand-ins of the third review's scripts, in the repository's root.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review3 ./review/standin3/platform
