package front

import (
	"context"
	"time"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/daemon/internal/cellsched"
	"rhubarbstall.example/sched/cell"
)

// accountsByName returns the client accounts by name.
func accountsByName(accounts []cell.ClientAccount) map[string]cell.ClientAccount {
	byName := make(map[string]cell.ClientAccount, len(accounts))
	for _, a := range accounts {
		byName[a.Name] = a
	}
	return byName
}

// setAccount records the client account of a job and its limit in the header of the job.
func (c *routeTable) setAccount(h *cellsched.JobHeader, from requester) {
	h.ClientAccount = from.account
	if a, ok := c.accounts[from.account]; ok {
		h.Limit = cellsched.NewAccountLimit(c.version, a)
	}
}

// submitWithinLimit submits a job unless the limit of its client account never lets it run. The limit may have been lowered
// since the job was accepted and its client, which got no answer, sent it once more; it is then a job like any other.
func (h *Handler) submitWithinLimit(ctx context.Context, cfg *routeTable, from requester, id string, header cellsched.JobHeader, spec *cell.Spec, body []byte) error {
	a := cfg.accounts[from.account]
	err := a.CheckFits(spec)
	if err == nil {
		return h.jobs.Submit(ctx, from, id, header, body)
	}
	rejected := codes.NeverFits.Errorf("%w (configuration version %d)", err, cfg.version)
	if answer, known := h.jobs.reject(ctx, from, id, rejected); known {
		return answer
	}
	return codes.OutcomeUnknown.With("the job never fits the limit of its client account, and the store does not tell whether it was accepted before", codes.RetryAfter(time.Second))
}
