#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 and later start.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review/ ./review/second/lasting ./review/second/probe ./review/second/long ./review/second/fill ./review/second/giveup ./review/second/trial ./review/second/flap
