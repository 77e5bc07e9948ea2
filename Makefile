# Linters are pinned here and run through the module's own means.
GOLANGCI_LINT = github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0

.PHONY: all build test model lint fmt generate

all: build

build:
	go build -o bramleythread .

test:
	go test ./...

# Histories that the model of scheduler, agents and workers plays, and the seed of their
# choice. A failing one is shrunk, and printed with the command that plays it again.
CHECKS = 100000
SEED = 0

model:
	go test ./core/job -run TestDecisionsUnderDelayedMessages -v -timeout 2h -rapid.checks=$(CHECKS) -rapid.steps=200 -rapid.seed=$(SEED)

lint: bin/golangci-lint
	bin/golangci-lint run

fmt:
	go tool goimports -local bramleythread -w core io platform tools main.go

generate:
	go generate ./io/wire

bin/golangci-lint:
	GOBIN=$(CURDIR)/bin go install $(GOLANGCI_LINT)
