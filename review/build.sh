#!/bin/sh
# Checks that the stand-ins can be used: they are Python and need nothing but its standard library.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 -c 'from standins import client, database, http, instances, link, record, store'
