#!/bin/sh
# Plays the case; TROUBLE=0 plays it with a whole number of milliseconds.
exec python3 -B "$(dirname "$0")/case.py"
