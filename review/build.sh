#!/usr/bin/env bash
# Builds the stand-ins that the scripts start into review/bin/. They use the standard
# library only.
set -euo pipefail
cd "$(dirname "$0")/.."
CGO_ENABLED=0 go build -buildvcs=false -tags review -o review/bin/standins ./review/standins
