#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. Run it after the build
# of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
CGO_ENABLED=1 go build -tags review -o build/review-2/ ./review/standins2
