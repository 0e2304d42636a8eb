#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0
# leaves the disruption out. Needs what the deploy file and review/build-2.sh build.
cd "$(dirname "$0")/../.." || exit 2
for program in target/galenahitch target/review-standin-2; do
  if [ ! -x "$program" ]; then
    echo "$program is missing" >&2
    exit 2
  fi
done
exec target/review-standin-2 brittle review/10
