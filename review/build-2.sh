#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and up into bin/. It needs the Go toolchain and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
(cd review/stand-2 && CGO_ENABLED=0 GOFLAGS=-buildvcs=false go build -o ../../bin/review-2 .)
