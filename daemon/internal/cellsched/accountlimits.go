package cellsched

import (
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/platform"
	"rhubarbstall.example/sched/cell"
	"rhubarbstall.example/sched/model"
)

// accountSize is an amount of resources in a record that concerns a client account.
type accountSize struct {
	MilliCPU     int64 `json:"cpu,omitempty"`
	MemoryMB     int64 `json:"mem,omitempty"`
	Accelerators int64 `json:"acc,omitempty"`
}

func newAccountSize(r model.Resources) *accountSize {
	return &accountSize{r.MilliCPU, r.MemoryMB, r.Accelerators}
}

func (s *accountSize) resources() model.Resources {
	if s == nil {
		return model.Resources{}
	}
	return model.Resources{MilliCPU: s.MilliCPU, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators}
}

// AccountLimit is the part of a stored job that holds the limit and the weight of its client account.
type AccountLimit struct {
	// Version is that of the configuration with the limit.
	Version int64   `json:"version"`
	Weight  float64 `json:"weight,omitempty"`
	accountSize
}

// NewAccountLimit returns the record of a client account.
func NewAccountLimit(version int64, a cell.ClientAccount) *AccountLimit {
	return &AccountLimit{version, a.Weight, *newAccountSize(a.Limit)}
}

func (l *AccountLimit) account(h JobHeader) *cell.VersionedAccount {
	return &cell.VersionedAccount{Version: l.Version, ClientAccount: cell.ClientAccount{Name: h.ClientAccount, Weight: l.Weight, Limit: l.resources()}}
}

// loadAccountLimits applies the limits of the stored configuration, which may be newer than the one that this VM knows;
// an earlier scheduler may have obeyed it. It returns false if the term ends before the store answers. Deployments
// without client accounts make no call.
func (s *Scheduler) loadAccountLimits() bool {
	known := false
	s.exclusive(func() { known = s.cell.HasAccounts() })
	if !known {
		return true
	}
	begin := time.Now()
	item, found, ok := s.readRecord(platform.ConfigKey)
	if !ok || !found {
		return ok
	}
	c, err := platform.DecodeConfig(item.Value)
	if err != nil {
		s.log.Error("[sched] decoding the stored configuration failed; limits are those that this VM knows", zap.Error(err))
		return true
	}
	s.exclusive(func() { s.cell.SetClientAccounts(c.Version, c.Accounts()) })
	s.log.Info("[sched] account limits read", zap.Int64("configuration", c.Version), zap.Int("accounts", len(c.ClientAccounts)), zap.Duration("took", time.Since(begin)))
	return true
}
