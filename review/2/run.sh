#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
review/build.sh || exit 2
if [ ! -x target/release/cherrypass ]; then
  echo "build the program first: cargo build --release --locked"
  exit 2
fi
folder=$(mktemp -d) || exit 2
# Whatever ends this script ends the case, by its id; the dispatcher ends with the case.
end() {
  if [ -n "${child:-}" ]; then
    kill "$child" 2>/dev/null
    wait "$child" 2>/dev/null
  fi
  rm -rf "$folder"
}
trap end EXIT
trap 'exit 2' HUP INT TERM
timeout 110 target/review/case-2 review/2 "$folder" &
child=$!
wait "$child"
code=$?
child=
[ "$code" -le 1 ] || code=2
exit "$code"
