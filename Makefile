# Everything a developer or CI runs. Needs Go and make only.
GO ?= go

.PHONY: build demo test lint experiment capacity spread generate tools gopls

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	./scripts/demo.sh

# Many simulated routers run without the race detector. The separate processes come last and alone: they wait for
# real time, and the memory of those in ./platform is measured.
test:
	$(GO) test -race -count=1 -timeout 20m ./cmd/... ./internal/... ./platform/...
	$(GO) test -count=1 ./internal/core/fleet -ginkgo.focus "many routers"
	$(GO) test -count=1 ./internal/core/shedding -ginkgo.focus "short of capacity"
	$(GO) test -race -count=1 ./e2e
	$(GO) test -count=1 ./platform -ginkgo.label-filter=alone

tools:
	cd tools && $(GO) build -o ../.bin/ google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go honnef.co/go/tools/cmd/staticcheck

# For renames (`.bin/gopls rename -w FILE:LINE:COLUMN NAME`). A module of its own: it needs older packages than the tools.
gopls:
	cd tools/gopls && $(GO) build -o ../../.bin/ golang.org/x/tools/gopls

lint: tools
	test -z "$$(gofmt -l cmd internal platform e2e)"
	$(GO) vet ./...
	.bin/staticcheck ./cmd/... ./internal/... ./platform/...

generate: tools
	cd tools/buf && $(GO) build -o ../../.bin/ github.com/bufbuild/buf/cmd/buf
	PATH="$(CURDIR)/.bin:$$PATH" .bin/buf generate

experiment: build
	./bin/hemlockdyke-bench experiment

# Two processors, as on a small entry VM: more would count idle spinning.
capacity: build
	GOMAXPROCS=2 ./bin/hemlockdyke-bench capacity

spread: build
	./bin/hemlockdyke-bench spread
