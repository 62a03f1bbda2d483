#!/bin/bash
# Builds the stand-ins that the scripts of the cases start. The project's own program is built
# by the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/_standins"
mkdir -p ../../target/review
GOWORK=off go build -o ../../target/review/standins .
