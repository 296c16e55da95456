#!/usr/bin/env bash
# Builds the program that plays the scripted cases of the second review, with its stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -trimpath -o target/review-rig ./review/rig
