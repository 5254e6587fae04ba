package membership

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/peer"
	"rhubarbstall.example/daemon/internal/rendezvous"
	wire "rhubarbstall.example/wire/platform"
)

// List keeps the members by heartbeats. It implements View.
type List struct {
	cfg   Config
	log   *zap.Logger
	table *table

	mu sync.Mutex
	// calling holds the addresses with a heartbeat in progress, so that a frozen
	// member holds one goroutine only.
	calling map[string]bool
	round   uint64
}

// New registers the peer methods and returns a list that knows only this entry VM.
func New(cfg Config) *List {
	l := &List{
		cfg:     cfg,
		log:     cfg.Logger,
		table:   newTable(cfg.Self),
		calling: make(map[string]bool),
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
		if late := now.Sub(last) - heartbeatInterval; late > pauseLimit {
			l.log.Warn("[membership] process was paused", zap.Duration("pause", late))
			if l.cfg.OnPause != nil {
				l.cfg.OnPause(late)
			}
		}
		last = now
		l.tick(ctx, now)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Leave tells the members of the own zone that this entry VM finished its last
// request and exits.
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
				l.log.Info("[membership] leave message not delivered", zap.String("member", m.ID), zap.Error(err))
			}
		})
	}
	wg.Wait()
}

// tick runs one heartbeat round.
func (l *List) tick(ctx context.Context, now time.Time) {
	l.table.setReport(l.cfg.Report())
	if vms, at := l.cfg.VMs.VMs(); !at.IsZero() {
		l.table.applyVMList(now, vms)
	}
	l.table.refresh(now)
	l.round++
	remote := l.round%uint64(remoteInterval/heartbeatInterval) == 1
	for _, addr := range l.targets(remote) {
		l.send(ctx, addr, remote)
	}
}

// targets returns the addresses of this round: every member of the own zone,
// and in a remote round one member of each other zone if this entry VM is the
// one that speaks for its zone, and the addresses that are not known yet.
func (l *List) targets(remote bool) []string {
	self := l.cfg.Self
	var out []string
	known := map[string]bool{self.PeerAddr: true}
	zones := make(map[string][]string)
	addrs := make(map[string]string)
	for _, m := range l.Members() {
		if m.ID == self.ID {
			zones[m.Zone] = append(zones[m.Zone], m.ID)
			continue
		}
		known[m.PeerAddr] = true
		if m.State == Dead || m.State == Left {
			// The address is tried in remote rounds, since a replacement may use it.
			if remote {
				out = append(out, m.PeerAddr)
			}
			continue
		}
		if m.Zone == self.Zone {
			out = append(out, m.PeerAddr)
		}
		if m.State == Alive || m.Zone != self.Zone {
			zones[m.Zone] = append(zones[m.Zone], m.ID)
			addrs[m.ID] = m.PeerAddr
		}
	}
	if !remote {
		return out
	}
	speaker := rendezvous.Owner("speaker", zones[self.Zone]) == self.ID
	for zone, ids := range zones {
		if zone == self.Zone || !speaker {
			continue
		}
		// A random member of the zone, so that a dead one is passed over in time.
		out = append(out, addrs[ids[rand.IntN(len(ids))]])
	}
	for _, addr := range l.candidates() {
		if !known[addr] {
			known[addr] = true
			out = append(out, addr)
		}
	}
	return out
}

// candidates returns the peer addresses from the settings and the platform's list.
func (l *List) candidates() []string {
	out := append([]string(nil), l.cfg.Seeds...)
	vms, _ := l.cfg.VMs.VMs()
	for _, vm := range vms {
		if vm.Role == wire.RoleEntry {
			out = append(out, vm.Addr)
		}
	}
	return out
}

// send starts one heartbeat call unless one to the address is in progress.
func (l *List) send(ctx context.Context, addr string, digest bool) {
	l.mu.Lock()
	busy := l.calling[addr]
	l.calling[addr] = true
	l.mu.Unlock()
	if busy {
		return
	}
	go func() {
		defer func() {
			l.mu.Lock()
			delete(l.calling, addr)
			l.mu.Unlock()
		}()
		l.exchange(ctx, addr, digest)
	}()
}

func (l *List) exchange(ctx context.Context, addr string, digest bool) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	msg := l.message(digest)
	msg.WantDigest = digest
	reply, err := peer.Call[heartbeat, heartbeat](ctx, l.cfg.Peers, addr, methodHeartbeat, msg)
	switch {
	case err == nil:
		l.accept(reply)
	case errors.Is(err, syscall.ECONNREFUSED):
		l.table.refused(time.Now(), addr)
	case errors.Is(err, peer.ErrNoReply):
		// A connection that stays open after a partition would delay the next
		// heartbeats until the kernel gives up on it.
		l.cfg.Peers.Reset(addr)
	}
}

// message builds a heartbeat. A digest covers every member, so that the answer
// of one member tells about its whole zone.
func (l *List) message(digest bool) *heartbeat {
	now := time.Now()
	self := l.Self()
	msg := &heartbeat{Sender: toInfo(now, self)}
	if !digest {
		return msg
	}
	for _, m := range l.Members() {
		if m.ID != self.ID && m.State != Suspect {
			msg.Digest = append(msg.Digest, toInfo(now, m))
		}
	}
	return msg
}

func toInfo(now time.Time, m Member) info {
	in := info{ID: m.ID, Zone: m.Zone, PeerAddr: m.PeerAddr, Incarnation: m.Incarnation, Report: m.Report}
	if m.State == Dead || m.State == Left {
		in.State = m.State
	}
	in.AgeMillis = now.Sub(m.LastHeard).Milliseconds()
	return in
}

// accept records a heartbeat or an answer.
func (l *List) accept(msg *heartbeat) {
	now := time.Now()
	l.table.heard(now, msg.Sender, 0)
	for _, in := range msg.Digest {
		// Members of the own zone are judged by their own heartbeats only.
		if in.Zone != l.cfg.Self.Zone {
			l.table.heard(now, in, time.Duration(in.AgeMillis)*time.Millisecond)
		}
	}
	if m, ok := l.table.get(msg.Sender.ID); ok && l.cfg.OnHeard != nil {
		l.cfg.OnHeard(m)
	}
}

func (l *List) handleHeartbeat(_ context.Context, _ string, msg *heartbeat) (*heartbeat, error) {
	l.accept(msg)
	return l.message(msg.WantDigest), nil
}

func (l *List) handleLeave(_ context.Context, _ string, msg *leave) (*empty, error) {
	l.table.left(time.Now(), msg.ID, msg.Incarnation)
	l.log.Info("[membership] member left", zap.String("member", msg.ID))
	return &empty{}, nil
}
