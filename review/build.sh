#!/usr/bin/env bash
# Builds the program that contains the stand-ins and the scripts of the cases. It needs no
# library and no network.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off GOFLAGS=-buildvcs=false go build -o bin/cases ./standins
