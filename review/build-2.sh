#!/usr/bin/env bash
# Build the stand-ins of the cases 4 to 8. They need nothing but Python's library.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX="$(mktemp -d)" python3 -m compileall -q kit-2 4 5 6 7 8
