#!/bin/sh
# Builds the stand-ins of all cases into review/bin. Run after the build of the deploy file; needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/stand ./review/_stand
