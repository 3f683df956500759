#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. It needs no network: they use the standard
# library only.
set -euo pipefail
cd "$(dirname "$0")/standin2/platform"
mkdir -p ../../../target
go build -o ../../../target/standin2 .
