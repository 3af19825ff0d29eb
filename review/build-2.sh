#!/bin/sh
# Builds the stand-ins of the second review. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-stand-2 ./review/_stand2
