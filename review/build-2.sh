#!/bin/sh
# Builds the stand-ins that the scripts of this review start, after the build of the deploy file. It needs the Go tool chain only.
set -e
cd "$(dirname "$0")/standins-2"
GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -o ../../target/review-2 .
