#!/bin/sh
# Builds the stand-ins of the review into target/review. They need only Go's standard library.
set -e
cd "$(dirname "$0")/standin"
mkdir -p ../../target/review
GOWORK=off GOTOOLCHAIN=local go build -buildvcs=false -o ../../target/review/standin .
