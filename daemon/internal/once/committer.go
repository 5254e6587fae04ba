package once

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rhubarbstall.example/daemon/internal/platform"
)

const (
	// callTimeout bounds one call to the platform.
	callTimeout = 2 * time.Second
	// commitRounds bounds the reads and writes of one group. Other entry VMs
	// write the same bucket, so a lost compare-and-swap is usual.
	commitRounds = 16
	// conflictBackoff times the number of lost rounds bounds the random pause
	// before the next one.
	conflictBackoff = 5 * time.Millisecond
)

// operation changes one entry of a bucket. It finds its own effect again, so it
// can be applied once more after a conflict or an ambiguous write.
type operation interface {
	// apply changes the bucket, which takes size bytes, or finds its effect in
	// place. It returns how much the bucket grew, whether it has to be written,
	// and an error if the operation is refused.
	apply(b *bucket, size int) (grown int, changed bool, err error)
}

// pendingOp is an operation that waits for its group.
type pendingOp struct {
	ctx  context.Context
	op   operation
	done chan error
}

// committer writes the operations of one bucket in groups: those that arrive
// while a write is in progress share the next one.
type committer struct {
	store platform.Store
	key   string
	// prune removes old entries and returns whether there were any.
	prune func(*bucket) bool

	mu      sync.Mutex
	waiting []*pendingOp
	running bool
}

// commit applies op and returns after it is stored or refused. An error that
// wraps errPlatform means that the state of the record is not known; the
// operation may still take effect.
func (c *committer) commit(ctx context.Context, op operation) error {
	p := &pendingOp{ctx: ctx, op: op, done: make(chan error, 1)}
	c.mu.Lock()
	c.waiting = append(c.waiting, p)
	if !c.running {
		c.running = true
		go c.run()
	}
	c.mu.Unlock()
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return errors.Join(errPlatform, ctx.Err())
	}
}

func (c *committer) run() {
	for {
		c.mu.Lock()
		// An operation whose caller has left was not applied yet, so it is dropped.
		group := slices.DeleteFunc(c.waiting, func(p *pendingOp) bool { return p.ctx.Err() != nil })
		c.waiting = nil
		if len(group) == 0 {
			c.running = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		c.write(group)
	}
}

// write brings a group into the store. After a conflict or an ambiguous write
// it reads the bucket back and applies the group again; an operation whose
// effect is in place changes nothing then.
func (c *committer) write(group []*pendingOp) {
	var err, ambiguous error
	for round := range commitRounds {
		// Entry VMs that lost a race to the same bucket would meet again.
		time.Sleep(rand.N(time.Duration(round)*conflictBackoff + 1))
		var b *bucket
		var revision uint64
		var size int
		if b, revision, size, err = c.read(); err != nil {
			break
		}
		if c.prune(b) {
			// Pruning alone is not worth a write, but it makes room.
			if value, err := b.encode(); err == nil {
				size = len(value)
			}
		}
		changed := false
		left := group[:0:0]
		for _, p := range group {
			grown, ch, refused := p.op.apply(b, size)
			if refused != nil {
				p.done <- refused
				continue
			}
			size += grown
			changed = changed || ch
			left = append(left, p)
		}
		group = left
		if !changed {
			finish(group, nil)
			return
		}
		err = c.put(b, revision)
		if err == nil {
			finish(group, nil)
			return
		}
		if errors.Is(err, platform.ErrAmbiguous) {
			ambiguous = platform.ErrAmbiguous
		} else if !errors.Is(err, platform.ErrConflict) {
			break
		}
	}
	finish(group, errors.Join(errPlatform, err, ambiguous))
}

func finish(group []*pendingOp, err error) {
	for _, p := range group {
		p.done <- err
	}
}

func (c *committer) read() (*bucket, uint64, int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	e, err := c.store.Get(ctx, c.key)
	if errors.Is(err, platform.ErrNotFound) {
		b, _ := decodeBucket(nil)
		return b, 0, 0, nil
	}
	if err != nil {
		return nil, 0, 0, err
	}
	b, err := decodeBucket(e.Value)
	return b, e.Revision, len(e.Value), err
}

func (c *committer) put(b *bucket, revision uint64) error {
	value, err := b.encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err = c.store.Put(ctx, c.key, value, revision, "")
	return err
}
