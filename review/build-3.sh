#!/bin/sh
# Builds the stand-ins of the scripts review/11 to review/15, after the build of deploy/system.toml, whose libraries they use.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
compile() {
    "${CXX:-c++}" -std=c++20 -O1 -Ireview/lib-3 -Itests/soak -Ipackages/core/include -Ipackages/runtime/include -c "$1" -o "$2"
}
objects=
for source in tests/soak/http_listener.cpp tests/soak/ledger.cpp tests/soak/store_server.cpp tests/soak/tcp_proxy.cpp review/lib-3/world.cpp; do
    object="$out/$(basename "$source" .cpp).o"
    compile "$source" "$object"
    objects="$objects $object"
done
for scenario in review/1[1-5]/scenario.cpp; do
    [ -e "$scenario" ] || continue
    number=$(basename "$(dirname "$scenario")")
    compile "$scenario" "$out/scenario-$number.o"
    # shellcheck disable=SC2086
    "${CXX:-c++}" -o "$out/case-$number" "$out/scenario-$number.o" $objects target/packages/runtime/libacaciarail_runtime.a \
        target/packages/core/libacaciarail_core.a -levent -lcrypto -llog4cxx -lxxhash
done
