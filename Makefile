# The targets people and scripts rely on.

CARGO ?= cargo

.PHONY: all build test bench demo check tools

all: build

# The build of the nng crate compiles its bundled C source with cmake.
tools:
	@command -v cmake >/dev/null \
	  || (apt-get update -qq && apt-get install -y -qq cmake) \
	  || python3 -m pip install --quiet cmake

build: tools
	$(CARGO) build --workspace --bins

check: tools
	.ci/wire-words
	$(CARGO) fmt --all --check
	$(CARGO) clippy --workspace --all-targets -- -D warnings

test: tools build
	$(CARGO) test --workspace

bench: tools
	$(CARGO) build --release --workspace --bins
	target/release/wisteria-lab bench --out target/bench
	sh components/lab/bench/processes.sh target/release target/bench

demo: tools
	$(CARGO) build --bin wisteria-lab
	target/debug/wisteria-lab demo
