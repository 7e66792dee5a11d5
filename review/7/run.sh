#!/usr/bin/env bash
# Bad clients ask for objects that no cache host knows (claim.txt). Exit code: 0 the rule held, 1 it was broken, 2 it
# couldn't run. With TROUBLE=0 there are no bad clients.
cd "$(dirname "$0")/../.." || exit 2
exec review/bed-2/run-case 7
