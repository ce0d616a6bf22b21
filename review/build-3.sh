#!/usr/bin/env bash
# Builds the driver and the stand-ins of the cases of the third review, all in one program.
# It needs the build of deploy/system.toml beside it, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
CGO_ENABLED=0 go build -tags review -o target/review-drive3 ./review/drive3
