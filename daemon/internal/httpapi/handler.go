package httpapi

import (
	"context"

	"rhubarbstall.example/api/oas"
)

// handler implements the generated interface of the API.
type handler struct {
	services Services
}

var _ oas.Handler = (*handler)(nil)

// NewError implements oas.Handler.
func (h *handler) NewError(_ context.Context, err error) *oas.ProblemStatusCode {
	return problemFromError(err)
}
