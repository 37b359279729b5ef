#!/usr/bin/env bash
# Compiles the stand-ins; they need nothing but Python.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review
