#!/usr/bin/env bash
# Builds the stand-ins of the cases. The build of deploy/system.toml has to be run before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/cases ./review/_cases
