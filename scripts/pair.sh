#!/bin/sh
# Plays this build against that of an earlier commit, both ways, and its store opened by either. Both are built as they
# stand in PROFILE (dev if not said); the earlier one in a git worktree under target/, removed again at the end.
# Usage: scripts/pair.sh COMMIT [SEED...]
set -eu
commit=${1:?COMMIT is expected: one this build is to be played against}
shift
[ $# -gt 0 ] || set -- 1
cd "$(dirname "$0")/.."
profile=${PROFILE:-dev}
folder=$profile
[ "$profile" != dev ] || folder=debug
other=${OTHER:-}
if [ -z "$other" ]; then
    tree=$PWD/target/pair
    trap 'git worktree remove --force "$tree" 2>/dev/null || true' EXIT
    trap 'exit 130' INT TERM
    git worktree remove --force "$tree" 2>/dev/null || true
    git worktree add --quiet --detach "$tree" "$commit"
    (cd "$tree" && CARGO_TARGET_DIR="$tree/target" cargo build --profile "$profile" -p cherrypass-dispatcher)
    other=$tree/target/$folder/cherrypass
fi
cargo build --profile "$profile" -p cherrypass-dispatcher
cargo build --profile "$profile" -p cherrypass-faultbed
bed=target/$folder/faultbed
program=target/$folder/cherrypass
worst=0
for seed in "$@"; do
    for scenario in pair pair_back pair_rules pair_delivery; do
        "$bed" --program "$program" --other "$other" play "crates/faultbed/scenarios/$scenario.bed" --seed "$seed" ||
            worst=$?
    done
done
exit $worst
