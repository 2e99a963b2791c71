#!/bin/sh
# Builds the stand-ins of the second review, cases 6 to 10: one program, bin/review-2. It needs Go and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
cd review/standins-2
exec go build -o ../../bin/review-2 .
