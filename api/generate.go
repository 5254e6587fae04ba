// Package api holds the interface for callers and operators: the OpenAPI
// document, the generated server and client in oas, and the result codes.
package api

//go:generate go run github.com/ogen-go/ogen/cmd/ogen@v1.25.0 --config ogen.yml --target oas --package oas --clean openapi.yaml
