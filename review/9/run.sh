#!/usr/bin/env bash
# Case 9; TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-9 review/9/record.txt
