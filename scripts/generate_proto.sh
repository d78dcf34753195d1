#!/usr/bin/env bash
# Regenerates the committed gRPC sources from src/net/proto/peer.proto. The build itself needs no generator.
set -euo pipefail
cd "$(dirname "$0")/../src/net/proto"
protoc --cpp_out=. --grpc_out=. --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" peer.proto
