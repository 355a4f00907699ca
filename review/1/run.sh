#!/usr/bin/env bash
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/cases resent-body review/1/record.txt
