package membership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	wire "rhubarbstall.example/wire/platform"
)

func newTestTable() (*table, time.Time) {
	return newTable(Member{ID: "a", Zone: "z1", PeerAddr: "127.0.0.1:1", Incarnation: 1}), time.Unix(1000, 0)
}

func stateOf(t *testing.T, tb *table, id string) State {
	t.Helper()
	m, ok := tb.get(id)
	must.True(t, ok)
	return m.State
}

// Guards against a silent member being taken for dead: it may be frozen with
// requests in flight.
func TestSilenceOnlySuspects(t *testing.T) {
	tb, now := newTestTable()
	tb.heard(now, info{ID: "b", Zone: "z1", PeerAddr: "127.0.0.1:2", Incarnation: 7}, 0)
	tb.refresh(now.Add(time.Hour))
	must.Eq(t, Suspect, stateOf(t, tb, "b"))
	tb.heard(now.Add(time.Hour), info{ID: "b", Zone: "z1", PeerAddr: "127.0.0.1:2", Incarnation: 7}, 0)
	must.Eq(t, Alive, stateOf(t, tb, "b"))
}

// Guards against a single refused connection, or one to an address that the
// member no longer uses, counting as proof of death.
func TestDeathNeedsRefusalsInARow(t *testing.T) {
	tb, now := newTestTable()
	b := info{ID: "b", Zone: "z1", PeerAddr: "127.0.0.1:2", Incarnation: 7}
	tb.heard(now, b, 0)
	tb.refused(now, "127.0.0.1:9")
	tb.refused(now, b.PeerAddr)
	must.Eq(t, Alive, stateOf(t, tb, "b"))
	tb.heard(now, b, 0)
	tb.refused(now, b.PeerAddr)
	must.Eq(t, Alive, stateOf(t, tb, "b"))
	tb.refused(now, b.PeerAddr)
	must.Eq(t, Dead, stateOf(t, tb, "b"))
}

// Guards against delayed news bringing an ended incarnation back.
func TestEndedIncarnationStaysEnded(t *testing.T) {
	tb, now := newTestTable()
	b := info{ID: "b", Zone: "z1", PeerAddr: "127.0.0.1:2", Incarnation: 7}
	tb.heard(now, b, 0)
	tb.left(now, "b", 7)
	must.False(t, tb.heard(now.Add(time.Second), b, 0))
	must.Eq(t, Left, stateOf(t, tb, "b"))

	b.Incarnation = 8
	must.True(t, tb.heard(now.Add(2*time.Second), b, 0))
	must.Eq(t, Alive, stateOf(t, tb, "b"))
	b.Incarnation = 7
	must.False(t, tb.heard(now.Add(3*time.Second), b, 2*time.Second))
	m, _ := tb.get("b")
	must.Eq(t, uint64(8), m.Incarnation)
}

// Guards against the lagging list ending a member that still answers, and
// against it being ignored once the member is silent.
func TestListEndsOnlySuspectMembers(t *testing.T) {
	tb, now := newTestTable()
	b := info{ID: "b", Zone: "z1", PeerAddr: "127.0.0.1:2", Incarnation: 7}
	listed := []wire.VM{{ID: "b", Role: wire.RoleEntry}}
	tb.heard(now, b, 0)
	tb.applyVMList(now, listed)
	tb.applyVMList(now, nil)
	must.Eq(t, Alive, stateOf(t, tb, "b"))
	tb.refresh(now.Add(time.Minute))
	must.Eq(t, Suspect, stateOf(t, tb, "b"))
	tb.applyVMList(now.Add(time.Minute), nil)
	must.Eq(t, Dead, stateOf(t, tb, "b"))
}

// Guards against a member that was never on the list, since the list lags,
// being ended by its absence.
func TestListDoesNotEndUnlistedMember(t *testing.T) {
	tb, now := newTestTable()
	tb.heard(now, info{ID: "b", Zone: "z1", PeerAddr: "127.0.0.1:2", Incarnation: 7}, 0)
	tb.refresh(now.Add(time.Minute))
	tb.applyVMList(now.Add(time.Minute), nil)
	must.Eq(t, Suspect, stateOf(t, tb, "b"))
}

// Guards against a replaced VM that reuses an address leaving the old member
// listed as possibly alive, with its slots held forever.
func TestReusedAddressEndsPreviousMember(t *testing.T) {
	tb, now := newTestTable()
	tb.heard(now, info{ID: "b", Zone: "z1", PeerAddr: "127.0.0.1:2", Incarnation: 7}, 0)
	tb.heard(now, info{ID: "c", Zone: "z1", PeerAddr: "127.0.0.1:2", Incarnation: 9}, 0)
	must.Eq(t, Dead, stateOf(t, tb, "b"))
	must.Eq(t, Alive, stateOf(t, tb, "c"))
	tb.refresh(now.Add(2 * forgetAfter))
	_, ok := tb.get("b")
	must.False(t, ok)
}
