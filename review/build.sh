#!/bin/sh
# Builds the stand-ins that the scripts of the cases start, into target/. It needs the Go tool chain only.
set -e
cd "$(dirname "$0")/.."
cd review/standins
GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -o ../../target/review-standins .
