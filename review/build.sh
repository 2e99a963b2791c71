#!/bin/sh
# Builds the stand-ins of the cases. They are a module of their own and have no dependencies.
set -eu
cd "$(dirname "$0")/standins"
mkdir -p ../bin
go build -o ../bin/review .
