#!/usr/bin/env bash
# Case 7; TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-7 review/7/record.txt
