# Functions shared by the scripts, which source this file.  POSIX sh.

packages="gcc g++ clang clang-format clang-tidy libclang-rt-14-dev cmake make pkg-config
libwebsockets-dev libtirpc-dev libglib2.0-dev libcyaml-dev libjansson-dev
libxxhash-dev libssl-dev libcmocka-dev librapidcheck-dev spin gnuplot-nox
openssl curl"

# Installs missing packages; needs root only if any is missing.
install_packages()
{
	missing=""
	for p in $packages; do
		dpkg-query -W -f '${Status}' "$p" 2>/dev/null |
		    grep -q 'ok installed' || missing="$missing $p"
	done
	[ -z "$missing" ] && return 0
	echo "installing:$missing"
	apt-get update -qq
	# shellcheck disable=SC2086
	DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
	    --no-install-recommends $missing >/dev/null
}

jobs_count()
{
	nproc 2>/dev/null || echo 2
}

# build DIR [CMAKE OPTIONS...]: configures and builds the project in DIR.
build()
{
	dir=$1
	shift
	cmake -S . -B "$dir" "$@" >/dev/null
	cmake --build "$dir" -j "$(jobs_count)"
}
