#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -tags review -o target/review-2/ ./review/standins-2
