package httpapi

import (
	"context"

	"rhubarbstall.example/api/oas"
)

// handler implements the generated interface; its methods are grouped by
// subject in the files of this package.
type handler struct {
	services Services
}

var _ oas.Handler = (*handler)(nil)

// NewError implements oas.Handler.
func (h *handler) NewError(_ context.Context, err error) *oas.ProblemStatusCode {
	return problemOf(err)
}
