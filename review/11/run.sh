#!/usr/bin/env bash
# Shows that a router that is stopped and started again forgets that its server has left.
# Needs the build of the deploy file and review/build-3.sh. TROUBLE=0 leaves the stop out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3/harness3 stop-forgets-leave review/11/record.txt
