#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0
# leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
[[ -x $root/target/cranberrywind && -x $root/target/review/standins ]] || { echo "build the project and run review/build.sh first"; exit 2; }
exec "$root/target/review/standins" many-changes "$root" "$folder"
