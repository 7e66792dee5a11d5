#!/usr/bin/env bash
# Lays what the bench looks for beside a site file (dialects, trouble keys, design claims) beside deploy/sites/*.toml.
# Takes the operators' kit folder (the one that holds sites/). What it lays stays out of git.
set -euo pipefail
if [ $# -ne 1 ] || [ ! -d "$1/sites" ]; then
  echo "usage: scripts/sites.sh KIT_DIR   (the folder that holds sites/real.json)" >&2
  exit 2
fi
kit=$(cd "$1" && pwd)
cd "$(dirname "$0")/../deploy/sites"
for name in real.json wire.json design.json; do
  install -m 644 "$kit/sites/$name" "$name"
done
# The keys of all pages: the sites', and those of the kit's later parts where they came.
find "$kit/sites" "$kit/more" -name unlock.txt -exec cat {} + 2>/dev/null | sort -u > unlock.txt
