# Shortcuts around CMake; each target installs what it needs first.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all setup build test test-sanitized lint format demo bench clean

all: build

setup:
	scripts/setup

build: setup
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD) -j $(JOBS)

test: build
	ctest --test-dir $(BUILD) --output-on-failure -j $(JOBS) || scripts/known-red $(BUILD)

test-sanitized: setup
	scripts/test-sanitized

lint: build
	scripts/lint $(BUILD)

format: setup
	scripts/format --fix

demo: build
	scripts/demo $(BUILD)

bench: build
	scripts/bench $(BUILD)

clean:
	rm -rf build build-asan build-tsan
