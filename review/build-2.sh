#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start besides the programs of the deploy file. Their stand-ins are plain
# JavaScript without dependencies, so there is nothing to compile: this checks that Node.js can read them, and that the
# build of the deploy file has left its programs.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/support-2/*.mjs review/6/*.mjs review/7/*.mjs review/8/*.mjs review/9/*.mjs review/10/*.mjs; do
    if [ -f "$file" ]; then
        node --check "$file"
    fi
done
test -f target/redwingpin-router.cjs
test -f target/redwingpin-agent.cjs
