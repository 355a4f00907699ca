#!/usr/bin/env bash
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/cases lower-birth review/5/record.txt
