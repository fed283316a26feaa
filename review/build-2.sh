#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start, stand-ins included.
set -euo pipefail
cd "$(dirname "$0")/.."
for n in 6 7 8 9 10; do
  go build -o "target/review-$n" "./review/$n"
done
