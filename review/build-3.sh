#!/bin/sh
# Builds the stand-ins that the scripts of the third review start.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-3/ ./review/third/intransit ./review/third/pending ./review/third/shrunk
