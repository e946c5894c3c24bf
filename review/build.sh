#!/bin/sh
# Builds the stand-ins of the cases: one program without dependencies, in a module of its own.
set -eu
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS= GOPROXY=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o ../bin/standin .
