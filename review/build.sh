#!/bin/sh
# Builds the stand-ins of the cases: one program that imports the standard library only.
set -eu
cd "$(dirname "$0")/.."
GOPROXY=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o review/bin/standin ./review/standin
