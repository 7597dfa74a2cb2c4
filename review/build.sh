#!/bin/sh
# Builds the programs that the scripts of the cases start, beside the deploy file's build.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review/ ./review/cases/...
