# What staff run most; `make run` wants CONFIG, the path of a dispatcher's configuration.
.PHONY: build test lint check run

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

check: lint test

run: build
	exec target/release/cherrypass serve --config "$(CONFIG)"
