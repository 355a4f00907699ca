#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." && [ -x review/bin/cases ] && [ -x target/burdockglade ] || exit 2
exec review/bin/cases forgotten-leave review/3/record.txt
