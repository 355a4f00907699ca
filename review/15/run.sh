#!/usr/bin/env bash
# Shows that no router starts once a bound of the settings is a fraction. Needs the build of the
# deploy file and review/build-3.sh. TROUBLE=0 changes the bound to another whole number.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3/harness3 fraction-bound review/15/record.txt
