# Runs the program of a case; sourced by each run.sh with CASE set to the program's name and HERE to the folder of the case.
# Ports: a free block of 100, kept by a lock. The project's programs write their logs into a temporary folder.
set -uo pipefail
cd "$HERE/../.."
programs=review/bin
for program in "target/bin/turmericplankd" "$programs/turmericplank-sitestore" "$programs/$CASE"; do
    [ -x "$program" ] || { echo "missing: $program (build of the deploy file, then review/build.sh)"; exit 2; }
done
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
base=
for n in $(seq $$ $(($$ + 149))); do
    candidate=$((12000 + (n % 150) * 100))
    exec {lock}>"${TMPDIR:-/tmp}/turmericplank-review-$candidate"
    flock -n "$lock" && ! (: <>"/dev/tcp/127.0.0.1/$candidate") 2>/dev/null && { base=$candidate; break; }
    exec {lock}>&-
done
[ -n "$base" ] || exit 2
timeout --kill-after=5 115 "$programs/$CASE" "$programs" "$work" "$HERE/record.txt" "$base"
code=$?
[ "$code" = 124 ] || [ "$code" = 137 ] && code=2
if [ "$code" != 0 ]; then
    echo "last lines of the daemons' logs:"
    tail -n 5 "$work"/entry-*.log
fi
case $code in 0) echo "the rule held" ;; 1) echo "the rule was broken" ;; *) echo "the case could not run"; code=2 ;; esac
exit "$code"
