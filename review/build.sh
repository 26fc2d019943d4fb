#!/bin/sh
# Builds every stand-in that a script of the review starts. It runs after the build line
# of the deploy file, in the repository's root or anywhere below it.
set -e
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/.src/rig
