package httpapi

import (
	"context"

	ht "github.com/ogen-go/ogen/http"

	"rhubarbstall.example/api/oas"
)

// ListInterference implements oas.Handler.
func (h *cellHandler) ListInterference(ctx context.Context) ([]oas.Interference, error) {
	pairs, err := h.service.InterferenceViews(ctx)
	if err != nil {
		return nil, err
	}
	out := make([]oas.Interference, len(pairs))
	for i, p := range pairs {
		out[i] = oas.Interference{
			Class: p.Class, Beside: p.Beside, Effect: oas.InterferenceEffect(p.Effect), Slowdown: p.Slowdown, SlowdownAtLeast: p.SlowdownAtLeast,
			SamplesBeside: p.SamplesBeside, SamplesWithout: p.SamplesWithout, KnownForS: p.Age.Seconds(), LastSampleAgeS: p.LastBeside.Seconds(),
		}
	}
	return out, nil
}

// ListInterference implements oas.Handler. Only cells learn it.
func (h *handler) ListInterference(context.Context) ([]oas.Interference, error) {
	return nil, ht.ErrNotImplemented
}
