#!/bin/sh
# Builds the stand-in that the scripts of the cases start. Run it after the build of
# deploy/system.toml; it needs no network.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../../target
go build -o ../../target/review-standin .
