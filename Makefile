LINT := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
OGEN := go run github.com/ogen-go/ogen/cmd/ogen@v1.25.0
BUF := go run github.com/bufbuild/buf/cmd/buf@v1.75.0

KNOWN_RED := $(shell sed -n "s/^\(Test[A-Za-z0-9]*\):.*/\1/p" KNOWN-RED.txt 2>/dev/null | paste -sd"|")

.PHONY: build test lint format generate fuzz soak demo regress bench bench-policy bench-slots bench-capacity

build:
	go build -o bin/ ./cmd/...

# Runs all tests except those in KNOWN-RED.txt.
test:
	go test -race -timeout 600s -skip '^($(KNOWN_RED))$$' ./...

lint:
	$(LINT) run ./...

format:
	$(LINT) fmt ./...

generate:
	$(BUF) generate
	$(OGEN) --config api/caller/ogen.yaml --target api/caller/callerapi --package callerapi --clean api/caller/openapi.yaml

demo: build
	./scripts/demo.sh

# Compares placement policies for chats on one trace; prints one line per policy.
bench-policy:
	go test ./internal/policy/trace -run '^$$' -bench Policy -benchtime 1x -timeout 1200s
	go test ./internal/policy/placement ./internal/policy/permits -run '^$$' -bench . -benchmem

# Compares the slots of plain services with the choice of a random target: who is served, refused
# and late in each recorded load, and what a call costs its coordinator, for docs/design/0020.
bench-slots: export GOMAXPROCS = 2
bench-slots:
	go test ./internal/policy/slots -run '^$$' -bench Loads -benchtime 1x -timeout 600s
	go test ./internal/policy/slots -run '^$$' -bench Call

# Runs the property-based and fuzz tests for ten minutes with random seeds.
fuzz:
	./scripts/fuzz.sh 600

# Injects random faults into real router processes: make soak SEED=7 DAYS=4 MINUTES=1
# SOAK_ARGS="-routers 12 -callers 200".
SEED ?= $(shell date +%s)
DAYS ?= 1
MINUTES ?= 1
soak:
	go build -race -o bin/hickoryrock-race ./cmd/hickoryrock
	go run ./cmd/soak -program bin/hickoryrock-race -seed $(SEED) -days $(DAYS) -minutes $(MINUTES) $(SOAK_ARGS)

# Scores the deployments of the regression runs with the users' bench: make regress
# BENCH=PATH SITES="SITE-FILE ..." WHY="...". Commit the entries in journal/. A deployment
# of hundreds of VMs needs 4 GB of memory and ten minutes for each day and job.
JOBS ?= 2
regress:
	@test -n "$(BENCH)" && test -n "$(SITES)" && test -n "$(WHY)" || { echo 'BENCH, SITES or WHY is not set'; exit 1; }
	for site in $(SITES); do $(BENCH) score $$site --jobs $(JOBS) --why "$(WHY)" || exit 1; done

# Measures how the control-plane overhead grows with the fleet size, for docs/design/0013.
bench-capacity: export GOMAXPROCS = 3
bench-capacity:
	go test ./internal/capacity/slopes -run . -v -timeout 300s -args -measure
	go test ./internal/peer/membership -run '^$$' -bench Steady -benchtime 1x -timeout 300s
	go test ./internal/peer/replica -run Measure -v -timeout 300s -args -measure
	go test ./internal/peer/permit -run '^$$' -bench Permit -benchtime 200x
	go test ./internal/platform/claims -run '^$$' -bench 'Store/group-330/440' -benchtime 1x

# Measures the overhead of one router on calls to the stand-in engine, for docs/SPEED.md.
bench: export GOMAXPROCS = 4
bench:
	go test ./internal/capacity/speed -run . -v -timeout 300s -args -measure
