# Shortcuts for developers and CI. CMakeLists.txt defines the build.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: deps build test lint demo bench sanitize fuzz model clean

deps:
	scripts/install-deps.sh

build: deps
	cmake -S . -B $(BUILD) -G Ninja >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

test: build
	scripts/test.sh $(BUILD)

lint: build
	scripts/lint.sh $(BUILD)

demo: build
	scripts/demo.sh $(BUILD)

bench: build
	scripts/bench.sh $(BUILD)

sanitize: deps
	scripts/sanitize.sh

fuzz: deps
	scripts/fuzz.sh

model: deps
	scripts/model.sh

clean:
	rm -rf build build-*
