package membership

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/peer"
	wire "rhubarbstall.example/wire/platform"
)

// List tracks the members by their heartbeats. It implements View.
type List struct {
	cfg   Config
	log   *zap.Logger
	table *table

	mu sync.Mutex
	// inFlight holds the addresses with a heartbeat call in progress, so that a
	// frozen member occupies only one goroutine.
	inFlight map[string]bool
	// learnedAddrs holds addresses of members of this zone, learned from digests.
	learnedAddrs map[string]bool

	// The times of the last digest, of the last heartbeats to other zones and of
	// those to unknown addresses. Only Run uses them.
	lastDigest  time.Time
	lastRemote  time.Time
	lastUnknown time.Time
}

// New registers the peer methods and returns a list that has only this entry VM.
func New(cfg Config) *List {
	l := &List{
		cfg:          cfg,
		log:          cfg.Logger,
		table:        newTable(cfg.Self),
		inFlight:     make(map[string]bool),
		learnedAddrs: make(map[string]bool),
	}
	peer.Handle(cfg.Server, methodHeartbeat, l.handleHeartbeat)
	peer.Handle(cfg.Server, methodLeave, l.handleLeave)
	return l
}

// Self implements View.
func (l *List) Self() Member {
	return l.table.selfMember(time.Now())
}

// Members implements View.
func (l *List) Members() []Member {
	return l.table.list(time.Now(), func(Member) bool { return true })
}

// InZone implements View.
func (l *List) InZone(zone string) []Member {
	return l.table.list(time.Now(), func(m Member) bool { return m.Zone == zone })
}

// Get implements View.
func (l *List) Get(id string) (Member, bool) {
	if id == l.cfg.Self.ID {
		return l.Self(), true
	}
	return l.table.get(id)
}

// Run sends heartbeats until the context ends.
func (l *List) Run(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		now := time.Now()
		if late := now.Sub(last) - heartbeatInterval; late > maxTickDelay {
			l.log.Warn("[membership] process was paused", zap.Duration("pause", late))
			if l.cfg.OnPause != nil {
				l.cfg.OnPause(late)
			}
		}
		last = now
		l.sendRound(ctx, now)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Leave announces to the members of this zone that this entry VM has finished its last
// request and is exiting.
func (l *List) Leave(ctx context.Context) {
	var wg sync.WaitGroup
	msg := &leave{ID: l.cfg.Self.ID, Incarnation: l.cfg.Self.Incarnation}
	for _, m := range l.InZone(l.cfg.Self.Zone) {
		if m.ID == l.cfg.Self.ID || m.State == Dead || m.State == Left {
			continue
		}
		wg.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
			defer cancel()
			if _, err := peer.Call[leave, empty](callCtx, l.cfg.Peers, m.PeerAddr, methodLeave, msg); err != nil {
				l.log.Info("[membership] could not deliver the leave message", zap.String("member", m.ID), zap.Error(err))
			}
		})
	}
	wg.Wait()
}

// sendRound updates the member states and sends the heartbeats of one round.
func (l *List) sendRound(ctx context.Context, now time.Time) {
	l.table.setReport(l.cfg.Report())
	if vms, at := l.cfg.VMs.VMs(); !at.IsZero() {
		l.table.applyVMList(now, vms)
	}
	l.table.updateStates(now)
	next := l.planRound(now)
	for _, addr := range next.zone {
		l.startHeartbeat(ctx, addr, next.digest, false)
	}
	for _, addr := range next.remote {
		l.startHeartbeat(ctx, addr, nil, true)
	}
	for _, addr := range next.unknown {
		l.startHeartbeat(ctx, addr, nil, true)
	}
}

// knownAddrs returns the peer addresses from the configured seeds, the platform's
// VM list and the digests.
func (l *List) knownAddrs() []string {
	out := append([]string(nil), l.cfg.Seeds...)
	l.mu.Lock()
	for addr := range l.learnedAddrs {
		out = append(out, addr)
	}
	l.mu.Unlock()
	vms, _ := l.cfg.VMs.VMs()
	for _, vm := range vms {
		if vm.Role == wire.RoleEntry {
			out = append(out, vm.Addr)
		}
	}
	return out
}

// startHeartbeat starts a heartbeat call in the background, unless one to the address
// is in progress.
func (l *List) startHeartbeat(ctx context.Context, addr string, digest []memberInfo, wantDigest bool) {
	l.mu.Lock()
	busy := l.inFlight[addr]
	l.inFlight[addr] = true
	l.mu.Unlock()
	if busy {
		return
	}
	go func() {
		defer func() {
			l.mu.Lock()
			delete(l.inFlight, addr)
			l.mu.Unlock()
		}()
		l.sendHeartbeat(ctx, addr, digest, wantDigest)
	}()
}

func (l *List) sendHeartbeat(ctx context.Context, addr string, digest []memberInfo, wantDigest bool) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	msg := l.newHeartbeat(digest)
	if wantDigest {
		msg.WantDigest = true
		msg.Digest = l.zoneDigest()
	}
	reply, err := peer.Call[heartbeat, heartbeat](ctx, l.cfg.Peers, addr, methodHeartbeat, msg)
	switch {
	case err == nil:
		l.handleMessage(reply)
	case errors.Is(err, syscall.ECONNREFUSED):
		l.table.connectionRefused(time.Now(), addr)
	case errors.Is(err, peer.ErrNoReply):
		// After a network partition the connection may stay open without working, and
		// would delay the next heartbeats until the kernel closes it.
		l.cfg.Peers.Reset(addr)
	}
}

// newHeartbeat builds a heartbeat of this entry VM.
func (l *List) newHeartbeat(digest []memberInfo) *heartbeat {
	return &heartbeat{Sender: newMemberInfo(time.Now(), l.Self()), Digest: digest}
}

// zoneDigest returns the digest of the other members of this zone. A heartbeat to
// another zone and its answer carry one each, so that both sides learn the members of
// the other zone.
func (l *List) zoneDigest() []memberInfo {
	return l.digest(time.Now(), func(m Member) bool { return m.Zone == l.cfg.Self.Zone })
}

// digest describes the other members that keep accepts. It leaves out suspect
// members, because the information about them is old.
func (l *List) digest(now time.Time, keep func(Member) bool) []memberInfo {
	var out []memberInfo
	for _, m := range l.Members() {
		if m.ID != l.cfg.Self.ID && m.State != Suspect && keep(m) {
			out = append(out, newMemberInfo(now, m))
		}
	}
	return out
}

func newMemberInfo(now time.Time, m Member) memberInfo {
	in := memberInfo{ID: m.ID, Zone: m.Zone, PeerAddr: m.PeerAddr, Incarnation: m.Incarnation, Report: m.Report}
	if m.State == Dead || m.State == Left {
		in.State = m.State
	}
	in.AgeMillis = now.Sub(m.LastHeard).Milliseconds()
	return in
}

// handleMessage records a heartbeat or the answer to one.
func (l *List) handleMessage(msg *heartbeat) {
	now := time.Now()
	l.table.update(now, msg.Sender, 0)
	for _, in := range msg.Digest {
		if in.Zone != l.cfg.Self.Zone {
			l.table.update(now, in, time.Duration(in.AgeMillis)*time.Millisecond)
			continue
		}
		// The state of a member of this zone follows from its own heartbeats only. The
		// address is kept, so that this entry VM contacts it.
		l.learnAddr(in.PeerAddr)
	}
	if m, ok := l.table.get(msg.Sender.ID); ok && l.cfg.OnHeartbeat != nil {
		l.cfg.OnHeartbeat(m)
	}
}

// learnAddr stores an address for the next heartbeats to unknown addresses.
func (l *List) learnAddr(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.learnedAddrs) >= maxLearnedAddrs {
		clear(l.learnedAddrs)
	}
	l.learnedAddrs[addr] = true
}

func (l *List) handleHeartbeat(_ context.Context, _ string, msg *heartbeat) (*heartbeat, error) {
	l.handleMessage(msg)
	reply := l.newHeartbeat(nil)
	if msg.WantDigest {
		reply.Digest = l.zoneDigest()
	}
	return reply, nil
}

func (l *List) handleLeave(_ context.Context, _ string, msg *leave) (*empty, error) {
	l.table.markLeft(time.Now(), msg.ID, msg.Incarnation)
	l.log.Info("[membership] member left", zap.String("member", msg.ID))
	return &empty{}, nil
}
