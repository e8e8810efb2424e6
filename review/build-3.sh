#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Checks the stand-ins of the cases 9 to 13. They are Python with its standard library alone, so nothing
# is compiled; the daemon is the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 or later is needed" >&2; exit 1; }
for file in review/sim3/stand.py review/{9,10,11,12,13}/case.py; do
    [ ! -f "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
[ -x target/release/stackpier-node ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
