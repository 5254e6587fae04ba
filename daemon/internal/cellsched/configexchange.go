package cellsched

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/operatorconfig"
	"rhubarbstall.example/daemon/internal/peer"
	"rhubarbstall.example/daemon/internal/wait"
)

// methodConfig returns the operator's configuration of a VM to another one.
const methodConfig = "cell.config"

const (
	// configPollInterval is the pause between questions to other VMs while the store does not answer this one, and
	// configPollFanout how many VMs are asked each time. With a version on one of 36 VMs, all of which ask, it reaches
	// the others in five to seven rounds, since those that have it pass it on; 3 s are allowed from the store's
	// acknowledgement, of which 0.8 s pass before the store counts as silent. Eight calls a second are about 2% of the
	// processor of a VM with 0.144 cores.
	configPollInterval = 250 * time.Millisecond
	configPollFanout   = 2
	// configCallTimeout limits a question, which a VM that is short of processor time takes a few hundred milliseconds to
	// answer, and the first attempt to fetch a record. A record of 500 kB takes half a second on an idle link of 10 Mbit/s,
	// so the timeout doubles with each attempt that fails, up to maxConfigFetchTimeout.
	configCallTimeout     = 600 * time.Millisecond
	maxConfigFetchTimeout = 2500 * time.Millisecond
	// maxConfigCalls bounds the questions in progress: those of three rounds, each of which may time out.
	maxConfigCalls = 6
	// maxConfigFetchDoublings keeps the timeout from overflowing.
	maxConfigFetchDoublings = 4
)

type configArgs struct {
	// Version is the caller's version; 0 if it has none.
	Version int64 `json:"version"`
	// VersionOnly asks for an answer without the record.
	VersionOnly bool `json:"version_only,omitempty"`
}

type configReply struct {
	// Version is the version of the VM that answers.
	Version int64 `json:"version"`
	// Record is the stored form of that version, with its API keys; nil unless it is newer than the caller's and was asked
	// for.
	Record []byte `json:"record,omitempty"`
	// AgeMS is how long ago the version was confirmed as the newest, at least 1; 0 if it never was.
	AgeMS int64 `json:"age_ms,omitempty"`
}

// configAgeMS returns the age of a confirmation for a message: at least 1, and 0 if there is none.
func configAgeMS(s operatorconfig.State) int64 {
	if !s.Confirmed {
		return 0
	}
	// Rounded up, so that a chain of VMs cannot make a confirmation younger.
	return s.Age.Milliseconds() + 1
}

// configState returns what the hello messages tell of the configuration; nothing if the settings have no client
// accounts, so that these messages stay as they were.
func (c *Client) configState() (version, ageMS int64) {
	if c.config == nil {
		return 0, 0
	}
	s := c.config.State()
	return s.Version, configAgeMS(s)
}

// handleConfig answers the question of another VM for a newer configuration.
func (c *Client) handleConfig(a *configArgs) *configReply {
	record, s := c.config.RecordAfter(a.Version)
	if a.VersionOnly {
		record = nil
	}
	return &configReply{Version: s.Version, Record: record, AgeMS: configAgeMS(s)}
}

// RunConfigExchange asks other VMs for newer versions while the store does not answer this one, until the context
// ends. It asks them itself instead of waiting for a hello call of the scheduler's VM, which the store may refuse as
// well, and which is known to be cut off only 1.3 s after its last answer.
func (c *Client) RunConfigExchange(ctx context.Context) {
	for wait.For(ctx, configPollInterval) {
		c.config.LogAge()
		if !c.config.StoreSilent() {
			continue
		}
		for _, to := range c.configPeers(time.Now()) {
			c.askForConfig(ctx, to)
		}
	}
}

// configPeers returns up to configPollFanout VMs to ask: one at random of those that reach the store, as far as is
// known, and others at random, since the former may be out of reach.
func (c *Client) configPeers(now time.Time) []VMAddr {
	var chosen []VMAddr
	choose := func(candidates []VMAddr, n int) {
		rand.Shuffle(len(candidates), func(i, k int) { candidates[i], candidates[k] = candidates[k], candidates[i] })
		for _, a := range candidates {
			if len(chosen) < n && !slices.ContainsFunc(chosen, func(b VMAddr) bool { return a.VM == b.VM }) {
				chosen = append(chosen, a)
			}
		}
	}
	choose(c.directory.ReachingStore(now), 1)
	choose(c.directory.All(now), configPollFanout)
	if holder := c.elector.Current(); holder.Addr != "" && holder.VM != c.vm {
		// A VM that has just started may know no other.
		choose([]VMAddr{{VM: holder.VM, Addr: holder.Addr}}, configPollFanout)
	}
	return chosen
}

// learnConfigVersion fetches the configuration of another VM at once if a hello message says that it is newer.
func (c *Client) learnConfigVersion(from VMAddr, version int64) {
	if c.config != nil && version > c.config.Version() && from.Addr != "" {
		go c.fetchConfig(context.Background(), from)
	}
}

// askForConfig asks a VM for a newer version in the background, unless too many questions are in progress.
func (c *Client) askForConfig(ctx context.Context, to VMAddr) {
	select {
	case c.configCalls <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-c.configCalls }()
		callCtx, cancel := context.WithTimeout(ctx, configCallTimeout)
		defer cancel()
		if r := c.callForConfig(callCtx, to, &configArgs{Version: c.config.Version(), VersionOnly: true}); r != nil && r.Version > c.config.Version() {
			c.fetchConfig(ctx, to)
		}
	}()
}

// fetchConfig fetches the newer version of a VM and puts it in force. It does nothing while another version is being fetched:
// several large records at a time would take each other's share of a narrow link, and all time out.
func (c *Client) fetchConfig(ctx context.Context, from VMAddr) {
	if !c.configFetching.CompareAndSwap(false, true) {
		return
	}
	defer c.configFetching.Store(false)
	timeout := min(configCallTimeout<<c.configFetchFailures.Load(), maxConfigFetchTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if c.callForConfig(ctx, from, &configArgs{Version: c.config.Version()}) != nil {
		c.configFetchFailures.Store(0)
	} else if c.configFetchFailures.Load() < maxConfigFetchDoublings {
		c.configFetchFailures.Add(1)
	}
}

// callForConfig calls a VM, puts the version that it sends in force, and takes over its confirmation; nil if it does not
// answer.
func (c *Client) callForConfig(ctx context.Context, to VMAddr, args *configArgs) *configReply {
	sent := c.config.Now()
	r, err := peer.Call[configArgs, configReply](ctx, c.peers, to.Addr, methodConfig, args)
	if err != nil {
		c.peers.CloseIfSilent(to.Addr, silentConnectionTimeout)
		c.log.Debug("[config] a VM does not tell its configuration", zap.String("vm", to.VM), zap.Error(err))
		return nil
	}
	if r.Record != nil {
		c.config.Offer(r.Record, r.Version, operatorconfig.Origin{VM: to.VM})
	}
	c.confirmConfig(r.Version, r.AgeMS, sent)
	return r
}

// confirmConfig takes over the confirmation of another VM's version, which answered a call that was sent at a time.
// The age counts from then, since it is not known when the other VM read its clock.
func (c *Client) confirmConfig(version, ageMS int64, sent time.Duration) {
	if c.config != nil && ageMS > 0 {
		c.config.ConfirmByPeer(version, sent-time.Duration(ageMS)*time.Millisecond)
	}
}
