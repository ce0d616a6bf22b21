#!/usr/bin/env bash
# Builds the drivers and the stand-ins of the cases of the third review: case 11 in one program,
# cases 12 to 15 in the other. It needs the build of deploy/system.toml beside it, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
CGO_ENABLED=0 go build -tags review -o target/review-standins3 ./review/standins3
CGO_ENABLED=0 go build -tags review -o target/review-drive3 ./review/drive3
