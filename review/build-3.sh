#!/usr/bin/env bash
# Checks the stand-ins that the scripts in review/11 to review/15 start. They are Python programs of the standard
# library only, so that nothing has to be built.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standin-3/*.py 1[1-5]/*.py <<'PYTHON'
import sys

assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
PYTHON
