#!/bin/bash
# Builds the stand-ins of the cases 4 to 6. Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-cases2 ./review/_cases2
