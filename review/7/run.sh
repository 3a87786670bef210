#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was broken, 0 if it held,
# 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
exec .venv/bin/python -P review/7/case.py
