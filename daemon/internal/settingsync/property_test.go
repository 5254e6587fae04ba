package settingsync

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"rhubarbstall.example/daemon/internal/platform"
)

// Guards against a revision in force that falls, and against two documents with
// one revision, under any order of changes, lost answers, stale reads, late
// events, transfers between entry VMs, damaged records and outages. The platform
// loses a record only after some entry VM has it in force: one that is lost
// before leaves no trace by which the next change could be numbered.
func TestRevisionNeverFalls(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCluster(t)
		vms := []*vm{c.add("vm-0", "a"), c.add("vm-1", "a"), c.add("vm-2", "b")}
		defer func() {
			for _, v := range vms {
				v.stop()
			}
		}()
		for _, v := range vms {
			v.startUpRound(context.Background(), true)
		}
		documents := make(map[uint64][]byte)
		var sent []*Transfer
		draw := func() *vm { return vms[rapid.IntRange(0, 2).Draw(rt, "vm")] }
		n := 0
		rt.Repeat(map[string]func(*rapid.T){
			"apply": func(rt *rapid.T) {
				v := draw()
				n++
				fault := rapid.IntRange(0, 4).Draw(rt, "fault")
				v.store.set(func(s *fakeStore) { s.onPut = faultyPut(c, fault) })
				ctx, cancel := context.WithTimeout(context.Background(), 40*time.Millisecond)
				defer cancel()
				before := v.revision()
				r, err := v.Apply(ctx, Change{ExpectedRevision: before, Document: document(n)})
				v.store.set(func(s *fakeStore) { s.onPut = nil })
				if err == nil && r.Revision != before+1 {
					rt.Fatalf("revision %d after %d", r.Revision, before)
				}
			},
			"read": func(*rapid.T) { _, _ = draw().read(context.Background()) },
			"late event": func(rt *rapid.T) {
				if versions := c.platform.versions; len(versions) > 0 {
					if e := versions[rapid.IntRange(0, len(versions)-1).Draw(rt, "version")]; e != nil {
						_, _ = draw().offer(e.Value, e.Revision, fromPlatform, Key)
					}
				}
			},
			"send": func(*rapid.T) {
				if st := draw().current.Load(); st != nil && st.encoded != nil {
					sent = append(sent, draw().transfer(st))
				}
			},
			"receive": func(rt *rapid.T) {
				if len(sent) > 0 {
					_ = draw().receive(sent[rapid.IntRange(0, len(sent)-1).Draw(rt, "message")], "peer")
				}
			},
			"stale reads": func(rt *rapid.T) {
				behind := rapid.IntRange(0, 3).Draw(rt, "behind")
				draw().store.set(func(s *fakeStore) { s.behind = behind })
			},
			"outage": func(rt *rapid.T) {
				down := rapid.Bool().Draw(rt, "down")
				draw().store.set(func(s *fakeStore) { s.down = down })
			},
			"damage": func(rt *rapid.T) {
				if !someHoldsLatest(c, vms) {
					return
				}
				if rapid.IntRange(0, 4).Draw(rt, "kind") == 0 {
					c.platform.remove()
				} else if rapid.Bool().Draw(rt, "corrupt") {
					c.overwrite([]byte("damaged"))
				}
			},
			"": func(rt *rapid.T) { checkVMs(rt, vms, documents) },
		})
	})
}

// faultyPut returns a write that loses its answer in one of several ways.
func faultyPut(c *cluster, fault int) func([]byte, uint64) (uint64, error) {
	switch fault {
	case 0:
		return func(value []byte, rev uint64) (uint64, error) {
			_, _ = c.platform.put(value, rev)
			return 0, platform.ErrAmbiguous
		}
	case 1:
		return func([]byte, uint64) (uint64, error) { return 0, platform.ErrAmbiguous }
	default:
		return nil
	}
}

// someHoldsLatest tells whether an entry VM has the highest stored revision in force.
func someHoldsLatest(c *cluster, vms []*vm) bool {
	var stored, held uint64
	for _, e := range c.platform.versions {
		if e != nil {
			if r, err := decodeRecord(e.Value); err == nil {
				stored = max(stored, r.Revision)
			}
		}
	}
	for _, v := range vms {
		held = max(held, v.revision())
	}
	return held >= stored
}

// checkVMs compares the entry VMs with what was seen before. The map remembers
// the document of each revision and, under its complement, the last revision of
// each entry VM.
func checkVMs(rt *rapid.T, vms []*vm, seen map[uint64][]byte) {
	for i, v := range vms {
		st := v.current.Load()
		if st == nil {
			continue
		}
		if doc, ok := seen[st.revision()]; ok && !bytes.Equal(doc, st.record.document) {
			rt.Fatalf("two documents have revision %d", st.revision())
		}
		seen[st.revision()] = st.record.document
		key := ^uint64(i)
		var last uint64
		if text, ok := seen[key]; ok {
			_, _ = fmt.Sscan(string(text), &last)
		}
		if st.revision() < last {
			rt.Fatalf("%s went from revision %d to %d", v.id, last, st.revision())
		}
		seen[key] = fmt.Append(nil, st.revision())
	}
}
