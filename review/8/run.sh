#!/usr/bin/env bash
# Case 8; TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-8 review/8/record.txt
