#!/usr/bin/env bash
# Case 6; TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-6 review/6/record.txt
