#!/usr/bin/env bash
# Builds the stand-ins of the cases review/11 to review/15. The build of the deploy file comes before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/standins-3 ./review/standins-3
