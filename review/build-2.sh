#!/bin/bash
# Builds the stand-ins that the scripts of the second review start.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/_standins2
