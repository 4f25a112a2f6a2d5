#!/bin/sh
# Builds the stand-ins of cases 6 to 10: they are Python and need its standard library only, so it is enough to compile
# them. The module that the cases have in common, fleet.py, must be the same in each.
cd "$(dirname "$0")" || exit 1
for case in 6 7 8 9 10; do
    cmp 6/fleet.py "$case/fleet.py" || exit 1
    for file in "$case"/*.py; do
        python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
    done
done
