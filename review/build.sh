#!/usr/bin/env bash
# Builds what the scripts of the cases start beside the programs of the deploy file. Their stand-ins in review/support are
# plain JavaScript, so only the bundled programs are needed; the build of the deploy file makes them.
cd "$(dirname "$0")/.." || exit 2
for program in redwingpin-router redwingpin-agent; do
    if [ ! -f "target/$program.cjs" ]; then
        echo "target/$program.cjs is missing: run the build of deploy/system.toml first" >&2
        exit 2
    fi
done
