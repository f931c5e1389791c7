#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8. Run it after the build of deploy/service.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-rig ./review/rig
