#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not be played.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
trouble=true
if [ "$TROUBLE" = 0 ]; then
  trouble=false
fi
exec target/review-rig -case drained -trouble="$trouble" -dir review/4 -program target/coltsfootmux-node
