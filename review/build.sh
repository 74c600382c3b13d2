#!/usr/bin/env bash
# Builds the stand-ins of the cases under review/ into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin ./review/standin
