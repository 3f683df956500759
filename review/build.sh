#!/bin/sh
# Builds the stand-ins of the review's scripts. The program under test is that of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review-standin ./review/platform
