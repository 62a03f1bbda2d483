#!/bin/sh
# Builds the stand-ins of the third review. Run from the repository's root.
set -eu
cd "$(dirname "$0")/_standins3"
mkdir -p ../../target/review-3
CGO_ENABLED=0 go build -o ../../target/review-3/rig .
