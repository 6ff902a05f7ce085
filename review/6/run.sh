#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the kill.
exec python3 -B "$(dirname "$0")/case.py"
