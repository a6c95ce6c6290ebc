#!/bin/sh
# Builds the stand-ins of the scripts. The program under test is built as the deploy file says.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/ ./review/...
