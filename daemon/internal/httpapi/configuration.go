package httpapi

import (
	"context"

	ht "github.com/ogen-go/ogen/http"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/api/oas"
)

// GetConfiguration implements oas.Handler.
func (h *cellHandler) GetConfiguration(context.Context) (*oas.Configuration, error) {
	c, ok := h.config()
	if !ok {
		return nil, codes.NotReady.Errorf("this entry VM has no configuration yet")
	}
	return &oas.Configuration{Version: c.Version, Document: string(c.Document)}, nil
}

// GetConfiguration implements oas.Handler. Only cells have an operator's configuration.
func (h *handler) GetConfiguration(context.Context) (*oas.Configuration, error) {
	return nil, ht.ErrNotImplemented
}
