package httpapi

import (
	"context"
	"time"

	"github.com/google/uuid"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/api/oas"
	"rhubarbstall.example/daemon/internal/router"
)

// SendRequest implements oas.Handler.
func (h *handler) SendRequest(ctx context.Context, in *oas.UpstreamRequest) (*oas.Answer, error) {
	req := router.Request{
		ID:             uuid.NewString(),
		Department:     in.Department,
		Kind:           in.Kind,
		Body:           in.Body,
		IdempotencyKey: in.IdempotencyKey.Or(""),
		NoRepeat:       in.NoRepeat.Or(false),
	}
	if ms, ok := in.DeadlineMs.Get(); ok {
		if ms <= 0 {
			return nil, codes.DeadlinePassed.With("deadline_ms must be above zero", codes.WithOutcome(codes.OutcomeNotRun))
		}
		req.Deadline = time.Duration(ms) * time.Millisecond
	}
	ans, err := h.services.Requests.Send(ctx, req)
	if err != nil {
		return nil, err
	}
	out := &oas.Answer{
		RequestID:        ans.RequestID,
		Body:             ans.Body,
		AvailabilityZone: ans.Zone,
		Hops:             ans.Hops,
		WaitMs:           float64(ans.Wait.Microseconds()) / 1000,
	}
	if ans.Upstream != "" {
		out.Upstream = oas.NewOptString(ans.Upstream)
	}
	if ans.Repeated {
		out.Repeated = oas.NewOptBool(true)
	}
	return out, nil
}

// ListUpstreams implements oas.Handler.
func (h *handler) ListUpstreams(context.Context) ([]oas.Upstream, error) {
	list := h.services.Requests.Upstreams()
	out := make([]oas.Upstream, 0, len(list))
	for _, u := range list {
		out = append(out, oas.Upstream{
			ID:         u.ID,
			State:      oas.UpstreamState(u.State),
			OwnedSlots: u.OwnedSlots,
			BusySlots:  u.BusySlots,
			InFlight:   u.InFlight,
			ErrorRate:  oas.NewOptFloat64(u.ErrorRate),
			LatencyMs:  oas.NewOptFloat64(float64(u.Latency.Microseconds()) / 1000),
		})
	}
	return out, nil
}
