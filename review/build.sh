#!/bin/sh
# Builds the stand-in program of the scripts into target/, beside the project's own.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin ./review
