#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. TROUBLE=0: without the
# disruption. Needs the build of the deploy file and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x target/release/olivegate ] || [ ! -x target/review-2/stand-in ]; then
    echo "NOT RUN: build first"
    exit 2
fi
ulimit -n "$(ulimit -H -n)" 2>/dev/null
REVIEW_FOLDER=$(mktemp -d) || exit 2
export REVIEW_FOLDER
end_all() {
    for pid in $(cat "$REVIEW_FOLDER/pids" 2>/dev/null); do
        if grep -qF "$REVIEW_FOLDER" "/proc/$pid/cmdline" 2>/dev/null; then
            kill -9 "$pid"
        fi
    done
    rm -rf "$REVIEW_FOLDER"
}
trap end_all EXIT
trap 'kill "$case_pid" 2>/dev/null; wait "$case_pid"; exit 2' INT TERM HUP
timeout -k 1 118 target/review-2/stand-in failing "$here/record.txt" &
case_pid=$!
wait "$case_pid"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
