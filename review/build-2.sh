#!/bin/sh
# Builds the stand-ins of the second review: of consumers, searchers and the platform's
# store. The build of the deploy file comes before.
set -e
cd "$(dirname "$0")/.."
go build -o target/rig2 ./review/rig2
