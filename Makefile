PROGRAMS := hyssoproad-entry hyssoproad-agent hyssoproadctl hyssoproad-bench
MODULES := . $(addprefix cmd/,$(PROGRAMS))
SEED ?= 1
TIME ?= 25s

export CGO_ENABLED := 1

.PHONY: build run test check race lint bench fuzz capacity load clean

build:
	go build -o build/ $(addprefix ./cmd/,$(PROGRAMS))

run: build
	ONCE=$(ONCE) scripts/run.sh

# Everything that must pass, with fixed seeds and virtual time.
test: build
	go test ./...

race:
	go test -race ./...

lint:
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { gofmt -l $$(git ls-files '*.go'); exit 1; }
	@for m in $(MODULES); do (cd $$m && go vet ./... && go run honnef.co/go/tools/cmd/staticcheck@2026.1 ./...) || exit 1; done

clean:
	rm -rf build
