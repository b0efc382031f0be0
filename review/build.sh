#!/usr/bin/env bash
# Builds the program that the scripts start: it has the clients and the stand-ins of the store and of the
# minions, and starts target/sequoiacart, which the build of the deploy file has put there.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-harness ./review/harness
