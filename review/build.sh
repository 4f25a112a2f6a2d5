#!/bin/sh
# Builds the stand-ins of each case: they are Python and need its standard library only, so it is enough to compile
# and import them. The modules that several cases have in common must be the same in each.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
for case in [1-5]; do
    for module in "$case"/standins/*.py; do
        cmp "$module" "1/standins/$(basename "$module")" || exit 1
    done
    (cd "$case" && python3 -c 'import scenario') || exit 1
done
