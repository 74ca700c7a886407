# Installs the package with its libraries under target/deps, which is on Python's path.
set -eu
DEPS=target/deps
if [ ! "$DEPS/.installed" -nt pyproject.toml ]; then
    rm -rf "$DEPS"
    python3 -m pip install --quiet --disable-pip-version-check --target "$DEPS" .
    rm -rf build src/*.egg-info
    # structlog would load rich, which only the command line uses, into every process.
    rm -rf "$DEPS/rich" "$DEPS"/rich-*
    touch "$DEPS/.installed"
fi
rm -rf "$DEPS/tamaracktray" "$DEPS/tamaracktray_emulator"
cp -r src/tamaracktray "$DEPS/tamaracktray"
# Processes start from compiled modules: what they import counts as their own time.
python3 -m compileall -q "$DEPS/tamaracktray" "$DEPS/curio" "$DEPS/h11" "$DEPS/msgspec" \
    "$DEPS/returns" "$DEPS/structlog" "$DEPS/xxhash"
