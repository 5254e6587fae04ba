#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 and above start. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
mkdir -p ../../.cache/review-3
GOWORK="$PWD/go.work" go build -o ../../.cache/review-3/standin3 .
