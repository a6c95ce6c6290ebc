#!/usr/bin/env bash
# Plays what a landing asks for, on a copy of the committed code, and prints the
# days on which a rule was broken.
#
#   BENCH=path/to/bench KIT=path/to/site/folders deploy/landing.sh PART WHY
#
# PART is hunts, small, days, scores, sweep or all. Outputs and the journal's new
# entries are left in OUT, target/landing by default; commit the entries as they are.
# JOBS bounds how many days are played at once, 6 by default: half of the
# processors where something else runs.
set -uo pipefail
part=${1:?hunts, small, days, scores, sweep or all}
why=${2:?why these runs are played}
: "${BENCH:?the bench program}" "${KIT:?the folder of the site folders}"
jobs=${JOBS:-6}
cd "$(dirname "$0")/.."
out=$(realpath -m "${OUT:-target/landing}")
mkdir -p "$out"

small_sites="sites/mizani-dar sites/bmsp-sched further/kanatli-refakat"
big_sites="grown/mizani-dar-grown grown/bmsp-sched-grown further-grown/kanatli-refakat-grown large/mizani-dar-large"
new_sites="shifted/mizani-dar-now-grown" # as large as the big ones, hunted like the small ones
small_days=42 # a site; 40 are asked for, and each third is one of deploy/days
big_days=8    # of 60 machines or more
twins=10      # hunted on the small twin of each of these

copy=$(mktemp -d)
trap 'cp -r "$copy/journal" "$out/"; rm -rf "$copy"' EXIT
git clone -q . "$copy"
cd "$copy"
"$BENCH" build >"$out/build.txt" 2>&1 || { cat "$out/build.txt"; exit 1; }

# play NAME ARGUMENTS...: one call of the bench, its output in OUT.
play() {
	local name=$1
	shift
	"$BENCH" "$@" --why "$why" >"$out/$name.txt" 2>&1
}

hunts() {
	local s
	for s in $small_sites $new_sites; do play "hunt-$(basename "$s")" hunt "$KIT/$s.toml" --days $small_days --jobs "$jobs"; done
	for s in $big_sites; do play "hunt-$(basename "$s")" hunt "$KIT/$s.toml" --days $big_days --jobs "$jobs"; done
}

# small plays the small twins: all standard days, and mixes with seeds of today.
small() {
	local s d seed
	export -f play
	export BENCH KIT why out
	for s in $big_sites $new_sites; do
		for d in quiet-1 trouble-1 scale-1 trouble-2 scale-2 trouble-3; do
			grep -q "name = \"$d\"" "$KIT/$s.toml" && echo "small-$(basename "$s")-$d run $KIT/$s.toml $d --small"
		done
		for seed in $(seq "$(date +%y%m%d)00" 1 "$(($(date +%y%m%d)00 + twins - 1))"); do
			echo "small-$(basename "$s")-$seed run $KIT/$s.toml mix --small --seed $seed"
		done
	done | xargs -P "$jobs" -L 1 bash -c 'play "$@"' play
}

days() {
	local s d
	for s in $big_sites $new_sites; do
		for d in deploy/days/*.toml; do
			play "day-$(basename "$s")-$(basename "$d" .toml)" run "$KIT/$s.toml" "$d"
		done
	done
}

scores() {
	local s
	for s in $small_sites $big_sites $new_sites; do play "score-$(basename "$s")" score "$KIT/$s.toml" --jobs "$jobs"; done
}

sweep() {
	local s
	for s in $big_sites $new_sites; do play "sweep-$(basename "$s")" sweep "$KIT/$s.toml" --jobs "$jobs"; done
}

case $part in
all) hunts; small; days; scores; sweep ;;
hunts | small | days | scores | sweep) $part ;;
*) echo "no such part: $part" >&2; exit 2 ;;
esac
echo "days with a rule broken, and gates that failed:"
grep -HE "BROKEN|GATE failed" "$out"/*.txt | sed "s|^$out/||" | cut -c1-220
