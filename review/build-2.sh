#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/. It needs Go only: they use the
# standard library. They stand in test files, since only tests start processes here.
set -eu
cd "$(dirname "$0")/standins-2"
go test -c -o ../../target/review-standins-2 .
