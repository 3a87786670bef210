#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the program itself, after the deploy file's build.
# Their stand-ins are Python of the standard library alone, so all there is to do is to compile them.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/tools review/6 review/7 review/8 review/9 review/10
