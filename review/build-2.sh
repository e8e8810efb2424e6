#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# The stand-ins of review/4 to review/8 are Python with its standard library: nothing has to be compiled. This checks
# that Python is there and can read them, and that the deploy file's build has been made.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/sim2/sim.py review/[4-8]/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
test -x target/release/stackpier-node
