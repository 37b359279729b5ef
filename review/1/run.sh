#!/usr/bin/env bash
# Kills an entry node and starts it again; see claim.txt. Exits with 1 if the rule broke.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:review
exec python3 review/1/play.py
