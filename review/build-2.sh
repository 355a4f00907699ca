#!/usr/bin/env bash
# Builds the program that the scripts of the second review start. It needs no network once
# the libraries of the project are there.
set -euo pipefail
cd "$(dirname "$0")/harness"
go build -o bin/harness .
