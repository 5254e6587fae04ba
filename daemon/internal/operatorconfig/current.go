package operatorconfig

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/platform"
)

// storeAnswerInterval is how long the store may give no answer before other VMs are asked for newer versions. It is
// longer than the 600 ms for which the store holds a watch open, so that a store that answers is not doubted.
const storeAnswerInterval = 800 * time.Millisecond

// Current is the newest version that this VM knows. It is safe for concurrent use.
type Current struct {
	settings Settings
	metrics  *metrics
	// applying is held while a version is put in force, so that an older one cannot overtake it in a part of the VM.
	applying sync.Mutex

	mu      sync.Mutex
	version int64
	// record is the stored form of the version; nil unless it is shared.
	record []byte
	// withoutKeys is the version as operators see it.
	withoutKeys platform.ConfigWithoutKeys
	// confirmed tells whether the version was ever confirmed as the newest, confirmedAt as of when.
	confirmed   bool
	confirmedAt time.Duration
	// storeAnsweredAt is when the store last answered a question for the configuration; storeFailed tells that it has not
	// answered the last one.
	storeAnsweredAt time.Duration
	storeFailed     bool
	// outdated is the last state that was logged.
	outdated bool
	// malformed is the revision or version of the last record that could not be decoded.
	malformed int64
}

// New returns a Current without a version.
func New(s Settings) (*Current, error) {
	c := &Current{settings: s, storeAnsweredAt: s.Clock()}
	var err error
	c.metrics, err = newMetrics(c)
	return c, err
}

// Now returns the reading of the clock by which confirmations are dated.
func (c *Current) Now() time.Duration { return c.settings.Clock() }

// Version returns the version in force; 0 if there is none.
func (c *Current) Version() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// State returns the version in force and when it was confirmed.
func (c *Current) State() State {
	_, s := c.RecordAfter(0)
	return s
}

// WithoutKeys returns the version in force as operators see it, without API keys; false if there is none.
func (c *Current) WithoutKeys() (platform.ConfigWithoutKeys, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.withoutKeys, c.version > 0
}

// RecordAfter returns the state, and the record of the version in force if that is newer than another; nil if not.
func (c *Current) RecordAfter(version int64) ([]byte, State) {
	now := c.settings.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	s := State{Version: c.version, Confirmed: c.confirmed, Age: now - c.confirmedAt}
	if c.version <= version {
		return nil, s
	}
	return c.record, s
}

// Offer puts a record in force if its version is newer. It logs a record that cannot be decoded once, and ignores
// it; number tells such records apart.
func (c *Current) Offer(record []byte, number int64, from Origin) {
	next, err := platform.DecodeConfig(record)
	if err != nil {
		c.logMalformed(number, from, err)
		return
	}
	c.applying.Lock()
	defer c.applying.Unlock()
	if next.Version <= c.Version() {
		return
	}
	withoutKeys, _ := platform.RemoveKeys(record) // fails only where DecodeConfig does
	c.settings.Apply(next)
	c.mu.Lock()
	c.version = next.Version
	c.withoutKeys = withoutKeys
	if c.settings.Shared {
		c.record = slices.Clone(record)
	}
	c.mu.Unlock()
	c.metrics.countVersion(from)
	c.settings.Log.Info("[config] configuration in force", zap.Int64("version", next.Version), zap.Int("routes", len(next.Routes)), from.field())
}

func (c *Current) logMalformed(number int64, from Origin, cause error) {
	c.mu.Lock()
	known := c.malformed == number
	c.malformed = number
	c.mu.Unlock()
	if !known {
		c.settings.Log.Error("[config] cannot decode the configuration", zap.Int64("revision", number), from.field(), zap.Error(cause))
	}
}

// ObserveStore records the outcome of a question to the store that was sent at a time. An answer confirms the version
// as of then, after what it contained was offered. A record that could not be decoded does not count as a version.
func (c *Current) ObserveStore(sent time.Duration, answered bool) {
	now := c.settings.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeFailed = !answered
	if answered {
		c.storeAnsweredAt = now
		c.confirm(sent)
	}
}

// ConfirmByPeer records that a version was the newest as of a time, as another VM says. It has no effect unless the
// version in force is at least as new.
func (c *Current) ConfirmByPeer(version int64, asOf time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version > 0 && c.version >= version {
		c.confirm(asOf)
	}
}

// confirm is called with the lock held.
func (c *Current) confirm(asOf time.Duration) {
	if !c.confirmed || asOf > c.confirmedAt {
		c.confirmed, c.confirmedAt = true, asOf
	}
}

// StoreSilent reports whether the store does not answer this VM's questions for the configuration.
func (c *Current) StoreSilent() bool {
	now := c.settings.Clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeFailed || now-c.storeAnsweredAt > storeAnswerInterval
}

// RefusesKeys reports whether API keys are not to be accepted, because the version may not be the newest.
func (c *Current) RefusesKeys() bool { return c.settings.RefuseOutdated && c.isOutdated() }

func (c *Current) isOutdated() bool {
	s := c.State()
	return !s.Confirmed || s.Age > c.settings.MaxAge
}

// LogAge logs a line when the version starts or ceases to count as outdated.
func (c *Current) LogAge() {
	s, outdated := c.State(), c.isOutdated()
	c.mu.Lock()
	changed := c.outdated != outdated && s.Version > 0
	if changed {
		c.outdated = outdated
	}
	c.mu.Unlock()
	switch {
	case changed && outdated:
		c.settings.Log.Warn("[config] configuration not confirmed as the newest for too long", zap.Int64("version", s.Version), zap.Duration("age", s.Age), zap.Bool("keys_refused", c.settings.RefuseOutdated))
	case changed:
		c.settings.Log.Info("[config] configuration confirmed as the newest again", zap.Int64("version", s.Version))
	}
}
