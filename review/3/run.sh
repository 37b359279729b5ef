#!/usr/bin/env bash
# Crashes a primary with syncReplicas 1; see claim.txt. Exits with 1 if the rule broke.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:review
exec python3 review/3/play.py
