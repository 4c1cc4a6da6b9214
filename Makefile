# Short names for what README.md and .ci/run do.
SOURCES = $(shell git ls-files '*.cpp' '*.hpp')

.PHONY: build test tidy lint format run clean

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release -DBUILD_TESTING=OFF
	cmake --build build -j4

test:
	bash tests/run

# Needs a build-test folder, as tests/run leaves one.
tidy:
	bash tools/tidy build-test

lint:
	clang-format --dry-run --Werror $(SOURCES)

format:
	clang-format -i $(SOURCES)

# make run CONFIG=path/to/config.json
run: build
	BALANCER_CONFIG=$(CONFIG) build/dappletiller

clean:
	rm -rf build build-test build-install build-consumer
