#!/bin/sh
# TROUBLE=0 leaves the disruption out. Exit: 0 kept, 1 broken, 2 could not run.
cd "$(dirname "$0")" && exec timeout 110 python3 -B case.py
