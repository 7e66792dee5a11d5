#!/usr/bin/env bash
# Plays the large form: 60 processes, limits and verdicts shared, processes killed, stopped and started anew, links of a
# few pairs cut. Not in CI. PROGRAM and BED name other builds; further arguments are seeds.
set -euo pipefail
cd "$(dirname "$0")/.."
program=${PROGRAM:-target/release/cherrypass}
bed=${BED:-target/release/faultbed}
file=$(mktemp --suffix .bed)
trap 'rm -f "$file"' EXIT
names() { for n in $(seq "$1" "$2"); do printf ' d%s' "$n"; done; }
cat > "$file" <<SCENARIO
dispatchers$(names 1 30) at edge
dispatchers$(names 31 60) at west
caches c1 c2 c3 c4 c5 c6 at edge transfers 20
caches w1 w2 w3 w4 w5 w6 at west transfers 20
parents p1 p2 p3 transfers 60
origin o1 transfers 120
load all 3
writes 0.1
objects 400
work 10
fleet { limits: { origin: 120, further_per_s: 120, cold: true }, verdicts: { } }
for 30
at 4 for 12 fail c1 0.95
at 5 for 6 cut d1 d2
at 5 for 6 cut d3 > d31
at 6 restart d10
at 6 restart d40
at 7 for 4 stop d20
at 8 for 6 kill d50
at 9 fresh w2
hold rules
hold sum origin 120
hold sum further 120
hold sum cold 1
hold age 10000
hold feed
hold agreed
SCENARIO
seeds=("${@:-1}")
for seed in "${seeds[@]}"; do
  "$bed" --program "$program" play "$file" --seed "$seed"
done
