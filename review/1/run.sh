#!/bin/sh
# Plays the case of claim.txt. Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/grebeglade ] && [ -x review/bin/stand ] || { echo "run the deploy file's build and review/build.sh first"; exit 2; }
exec review/bin/stand -case silent -record review/1/record.txt
