#!/usr/bin/env bash
# Runs the case; see claim.txt. 1: the rule was broken, 0: it held, 2: the case couldn't run.
# TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
if [[ ! -x target/review-2/standin || ! -x target/release/mustard-gateway ]]; then
    echo "not run: build the gateway as the deploy file says, then review/build-2.sh"
    exit 2
fi
exec target/review-2/standin refused-body review/6
