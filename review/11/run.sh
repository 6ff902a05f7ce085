#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves out the disruption.
export PYTHONDONTWRITEBYTECODE=1
exec timeout -k 5 118 python3 "$(dirname "$0")/case.py"
