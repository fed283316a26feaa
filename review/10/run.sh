#!/usr/bin/env bash
# Case 10; TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-10 review/10/record.txt
