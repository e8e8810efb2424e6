#!/usr/bin/env bash
# SPDX-License-Identifier: Apache-2.0
# Plays the case; TROUBLE=0 leaves the disruption out. Exit: 1 broken, 0 held, 2 could not run.
export TROUBLE="${TROUBLE:-1}"
export PYTHONDONTWRITEBYTECODE=1
exec python3 "$(dirname "${BASH_SOURCE[0]}")/case.py"
