.PHONY: demo test build lint packages

packages:
	scripts/install_packages.sh

build: packages
	cmake --preset release > /dev/null
	cmake --build --preset release

test: build
	scripts/run_tests.sh

demo: build
	scripts/demo.sh

lint: build
	scripts/lint.sh
