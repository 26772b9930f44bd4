# Runs a case: kit-2/run.sh FOLDER CASE DESCRIPTORS. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
folder=$1 case=$2 descriptors=$3
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
if [ ! -x target/release/dragonflyquay ] || [ ! -x target/review-2/cases ]; then
	echo "build with the command of deploy/system.toml and review/build-2.sh first" >&2
	exit 2
fi
ulimit -n "$descriptors" || exit 2
dir=$(mktemp -d) || exit 2
end() {
	# The processes have ended already unless the case was broken off.
	if [ -f "$dir/processes" ]; then
		while read -r id; do
			tr '\0' ' ' 2>/dev/null < "/proc/$id/cmdline" | grep -qF "$dir" && kill -KILL "$id"
		done < "$dir/processes"
	fi
	rm -rf "$dir"
}
trap end EXIT
CASE_DIR=$dir RECORD=$folder/record.txt timeout 115 target/review-2/cases "$case"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
