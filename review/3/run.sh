#!/usr/bin/env bash
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/cases forgotten-leave review/3/record.txt
