package settingsync

import (
	"context"
	"fmt"
	"time"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/daemon/internal/membership"
	"rhubarbstall.example/daemon/internal/peer"
)

// Peer methods. A sender announces its revision before it pushes the record, so
// that a document of up to 900 KB goes only to an entry VM that lacks it.
const (
	methodPull     = "settings.pull"
	methodAnnounce = "settings.announce"
	methodPush     = "settings.push"
)

// peerCallTimeout bounds one pull, or one announcement with its push. Two of them
// in sequence fit into the 3 s in which a change must be in force everywhere.
const peerCallTimeout = time.Second

// PullArgs is the request for the record in force.
type PullArgs struct{}

// Transfer carries a record. Record is nil if the sender has no stored settings.
type Transfer struct {
	Revision uint64
	Record   []byte
	// Token is the platform's revision of the record; zero if not known.
	Token uint64
	// Zone is the sender's availability zone.
	Zone string
}

// AnnounceArgs carries the revision that the sender has in force.
type AnnounceArgs struct {
	Revision uint64
}

// RevisionStatus is the answer to an announcement or a push: the revision that the
// answering entry VM has in force, and whether it has one at all.
type RevisionStatus struct {
	Revision uint64
	Ready    bool
}

func (s *Syncer) registerPeerMethods() {
	peer.Handle(s.cfg.Server, methodPull, func(context.Context, string, *PullArgs) (*Transfer, error) {
		snap := s.current.Load()
		if snap == nil {
			return nil, errNotReady()
		}
		return s.newTransfer(snap), nil
	})
	peer.Handle(s.cfg.Server, methodAnnounce, func(context.Context, string, *AnnounceArgs) (*RevisionStatus, error) {
		return s.revisionStatus(), nil
	})
	peer.Handle(s.cfg.Server, methodPush, func(_ context.Context, from string, t *Transfer) (*RevisionStatus, error) {
		if err := s.handleTransfer(t, from); err != nil {
			return nil, codes.SettingsInvalid.Errorf("settings record rejected: %w", err)
		}
		return s.revisionStatus(), nil
	})
}

func (s *Syncer) revisionStatus() *RevisionStatus {
	return &RevisionStatus{Revision: s.revision(), Ready: s.Ready()}
}

func (s *Syncer) newTransfer(snap *snapshot) *Transfer {
	return &Transfer{Revision: snap.revision(), Record: snap.encoded, Token: snap.storeRevision, Zone: s.cfg.Zone}
}

// handleTransfer handles the record that another entry VM sent.
func (s *Syncer) handleTransfer(t *Transfer, from string) error {
	if len(t.Record) == 0 {
		return nil
	}
	recordOrigin := originOtherZone
	if t.Zone == s.cfg.Zone {
		recordOrigin = originZone
	}
	_, err := s.handleRecord(t.Record, t.Token, recordOrigin, from)
	if err != nil {
		// The revision cannot be read from an unusable record, so it is taken from the
		// message.
		s.rejections.add(from, t.Revision)
	}
	return err
}

// pull fetches the record of a member and handles it.
func (s *Syncer) pull(ctx context.Context, m membership.Member) error {
	t, err := s.fetch(ctx, m)
	if err != nil {
		return err
	}
	return s.handleTransfer(t, m.ID)
}

// fetch returns the record of a member.
func (s *Syncer) fetch(ctx context.Context, m membership.Member) (*Transfer, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	t, err := peer.Call[PullArgs, Transfer](ctx, s.cfg.Peers, m.PeerAddr, methodPull, &PullArgs{})
	if err != nil {
		s.metrics.countError("pull")
		return nil, fmt.Errorf("pull from %s: %w", m.ID, err)
	}
	return t, nil
}

func isNotReady(err error) bool {
	return codes.Of(err) == codes.NotReady
}

// sendRecord announces a revision to a member and pushes the record if the member
// lacks it.
func (s *Syncer) sendRecord(ctx context.Context, m membership.Member, snap *snapshot) error {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	have, err := peer.Call[AnnounceArgs, RevisionStatus](ctx, s.cfg.Peers, m.PeerAddr, methodAnnounce, &AnnounceArgs{Revision: snap.revision()})
	if err == nil && (!have.Ready || have.Revision < snap.revision()) {
		_, err = peer.Call[Transfer, RevisionStatus](ctx, s.cfg.Peers, m.PeerAddr, methodPush, s.newTransfer(snap))
	}
	if err != nil {
		s.metrics.countError("push")
	}
	return err
}
