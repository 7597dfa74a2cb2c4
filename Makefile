GO ?= go
VERSION ?= $(shell git describe --always --dirty 2>/dev/null || echo dev)
DEPLOYMENT ?= andrade
LDFLAGS = -X github.com/lagoonmux/lagoonmux/internal/version.Version=$(VERSION)

.PHONY: build test lint figures unit generate demo capacity model-check bench-routing bench-control

build: ## programs into bin/
	$(GO) build -ldflags '$(LDFLAGS)' -o bin/ ./cmd/...

test: lint figures unit model-check ## everything that decides a verdict

lint:
	@unformatted=$$(gofmt -l cmd internal); if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

figures: ## size rules of the tree, where their tool is at hand
	@if [ -x ../shared/tools/tree-figures ]; then ../shared/tools/tree-figures; else echo "tree-figures: not at hand, skipped"; fi

unit:
	$(GO) tool gotestsum --format pkgname -- -race -count=1 ./...

model-check: ## every model under spec/, and that each broken variant is caught
	scripts/model-check.sh

SECONDS ?= 60
soak: ## the ledger under drawn faults on a virtual clock, for SECONDS
	SOAK_SECONDS=$(SECONDS) $(GO) test -run TestSoak -count=1 -v -timeout $$(($(SECONDS) + 300))s ./internal/serve

faults: build ## daemons and stand-ins as processes, faults alone and two at a time
	scripts/faults-ledger.sh

demo: build ## the main job on loopback; fails unless every outcome is right
	scripts/demo.sh $(DEPLOYMENT)

capacity: build ## slopes of processor time, memory and bytes, for docs/CAPACITY.md
	scripts/capacity.sh

bench-routing: build ## routing policies side by side; QUICK=1 for under 3 minutes
	@scripts/bench-routing.sh

bench-control: build ## manifest, reclaims, failures and cost of control on 6 daemons; synthetic at 60 and 460
	scripts/bench-control.sh
