# Linters are pinned here and run through the module's own means.
GOLANGCI_LINT = github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0

.PHONY: all build test lint fmt generate

all: build

build:
	go build -o bramleythread .

test:
	go test ./...

lint: bin/golangci-lint
	bin/golangci-lint run

fmt:
	go tool goimports -local bramleythread -w core io platform tools main.go

generate:
	go generate ./io/wire

bin/golangci-lint:
	GOBIN=$(CURDIR)/bin go install $(GOLANGCI_LINT)
