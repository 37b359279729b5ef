#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start. It is Python without packages, so
# this only checks that it compiles.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q standins-2 6 7 8 9 10
