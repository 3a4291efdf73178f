#!/usr/bin/env bash
# Build the stand-ins of the cases. They need nothing but Python's library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins 1 2
