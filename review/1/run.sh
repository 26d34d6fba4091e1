#!/usr/bin/env bash
# Uploads within the limit in force, on connections accepted under an earlier limit; see claim.txt.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. Needs target/release/olivegate; builds the stand-ins if they aren't there.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/release/olivegate ] || { echo "target/release/olivegate isn't built"; exit 2; }
[ -x target/review/case ] || review/build.sh || exit 2
folder=$(mktemp -d) || exit 2
group=
# Ends whatever is left of the process group that this script started, also when it is cut off itself.
finish() {
  [ -z "$group" ] || kill -KILL -- "-$group" 2>/dev/null
  rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' INT TERM HUP
# With job control, a job in the background has a process group of its own.
set -m
TMPDIR=$folder timeout -k 5 100 target/review/case limits "$here/record.txt" &
group=$!
wait "$group"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
