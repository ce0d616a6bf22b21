PROGRAMS := hyssoproad-entry hyssoproad-agent hyssoproad-gateway hyssoproad-orderer hyssoproadctl hyssoproad-bench
MODULES := . $(addprefix cmd/,$(PROGRAMS))
SEED ?= 1
TIME ?= 25s

export CGO_ENABLED := 1

.PHONY: build deploy run test race prove lint fuzz bench bench-decisions check overhead chaos soak rollout tokens capacity settings-reference rename clean

build:
	go build -o build/ $(addprefix ./cmd/,$(PROGRAMS))

# What the users' platform builds, as deploy/system.toml says.
deploy:
	sh -c "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/system.toml)"

run: build
	ONCE=$(ONCE) scripts/run.sh

# All tests, with fixed seeds and virtual time. They must pass, except those listed in
# KNOWN-RED.txt.
test: build
	scripts/test.sh

race:
	scripts/test.sh -race

# Each test of scripts/mechanisms.txt fails without the mechanism that it checks.
prove:
	scripts/prove.sh

lint:
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { gofmt -l $$(git ls-files '*.go'); exit 1; }
	@for m in $(MODULES); do (cd $$m && go vet ./... && go run honnef.co/go/tools/cmd/staticcheck@v0.8.2 ./...) || exit 1; done

# The long run over random faults in virtual time, then a short fuzz test of the
# frame reader: make fuzz SEED=2 TIME=60s.
fuzz:
	go test ./pkg/system -run TestLongRun -count=1 -v -fuzz-seed $(SEED) -fuzz-time $(TIME)
	go test ./pkg/link -run XXX -fuzz FuzzReadFrame -fuzztime 5s

# The policy experiments; the table goes to the screen and build/bench.json.
bench: build
	build/hyssoproad-bench experiment -json build/bench.json -plots build

# Benchmarks of the routing, queueing, gateway and grant code.
bench-decisions:
	go test ./pkg/route ./pkg/queue ./pkg/gateway ./pkg/grant -run XXX -bench . -benchtime 200ms

# 1,000 requests at 200 in flight over 300 adapters, with late and misrouted chunks.
check: build
	scripts/check.sh

# Requests through an entry against direct calls to the same engine.
overhead: build
	scripts/overhead.sh

# Real processes under load. Every second one is killed or paused, or the links of
# an agent are cut or stalled.
chaos: build
	scripts/chaos.sh

# The users' platform's programs as real processes on stand-ins under random
# faults, against an oracle: make soak SEED=2 TIME=60s, PLANNED=1 for planned
# operations only, ONLY=target-ends-runs-late for one kind of fault.
soak: build
	SEED=$(SEED) TIME=$(TIME) PLANNED=$(PLANNED) ONLY=$(ONLY) CLIENTS=$(CLIENTS) scripts/soak.sh

# The time from an accepted change to its being in force on every process.
rollout: build
	scripts/rollout.sh

# The resource use of entries and agents per request and token.
tokens: build
	scripts/tokens.sh

capacity: build
	scripts/capacity.sh

settings-reference: build
	build/hyssoproad-bench settings-reference > docs/settings.md

# Renames an identifier and its uses in the whole workspace:
# make rename AT=pkg/order/order.go:12:6 TO=Name.
rename:
	go run golang.org/x/tools/gopls@v0.23.0 rename -w $(AT) $(TO)

clean:
	rm -rf build
