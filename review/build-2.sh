#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into target/. The build of the deploy
# file puts the program itself there.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -o target/review-standin-2 ./review/standin-2
