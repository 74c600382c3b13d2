#!/usr/bin/env bash
# Builds the stand-in that the scripts of the second review start. Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stage ./review/stage
