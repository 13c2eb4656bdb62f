#!/usr/bin/env bash
# Regenerates api/ from its .proto files. CI does not need it: the output is committed.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
GOBIN=$bin go install github.com/bufbuild/buf/cmd/buf@v1.65.0
GOBIN=$bin go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
GOBIN=$bin go install connectrpc.com/connect/cmd/protoc-gen-connect-go@v1.19.1
PATH=$bin:$PATH buf generate
