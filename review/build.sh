#!/usr/bin/env bash
# Builds the stand-ins of the review. The programs under test are built by the command in
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -tags review -o review/bin/standins ./review/standins
