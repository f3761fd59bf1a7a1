#!/usr/bin/env bash
# Builds the stand-ins that the cases start. They need the standard library only. The agent itself is built by the build
# line of deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")/stand"
mkdir -p ../bin
GOFLAGS=-mod=mod GOPROXY=off GOWORK=off go build -o ../bin/stand .
