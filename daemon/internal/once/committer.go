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
	// maxCommitRounds bounds the read-modify-write rounds of one group. Other entry
	// VMs write the same bucket, so failed compare-and-swap calls are common.
	maxCommitRounds = 16
	// conflictBackoffStep times the number of previous rounds is the upper bound of the
	// random delay before the next round.
	conflictBackoffStep = 5 * time.Millisecond
)

// operation changes one entry of a bucket. It is idempotent: it recognizes its
// own effect, so it can be applied again after a conflict or an ambiguous write.
type operation interface {
	// apply changes the bucket, whose encoded size is size bytes, unless its effect
	// is already there. It returns the growth of the bucket in bytes, whether the
	// bucket must be written, and an error if the operation is refused.
	apply(b *bucket, size int) (grown int, changed bool, err error)
}

// pendingOp is an operation in the queue of a committer.
type pendingOp struct {
	ctx  context.Context
	op   operation
	done chan error
}

// committer applies operations to one bucket with group commit: operations that
// arrive during a write share the next one.
type committer struct {
	store platform.Store
	key   string
	// prune removes expired entries and reports whether there were any.
	prune func(*bucket) bool

	mu      sync.Mutex
	waiting []*pendingOp
	running bool
}

// commit applies op and returns once it is stored or refused. An error that wraps
// errPlatform means that the state of the record is unknown; the operation may
// still take effect.
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
		// Operations whose context has ended are dropped; they were not applied yet.
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

// write applies a group of operations and writes the bucket to the store. After a
// conflict or an ambiguous write it reads the bucket and applies the group again;
// operations that have already taken effect change nothing then.
func (c *committer) write(group []*pendingOp) {
	var err, ambiguous error
	for round := range maxCommitRounds {
		// Without jitter, entry VMs that compete for the bucket would collide again.
		time.Sleep(rand.N(time.Duration(round)*conflictBackoffStep + 1))
		var b *bucket
		var revision uint64
		var size int
		if b, revision, size, err = c.read(); err != nil {
			break
		}
		if c.prune(b) {
			// Pruned entries alone cause no write, but they make room for new ones.
			if value, err := b.encode(); err == nil {
				size = len(value)
			}
		}
		changed := false
		remaining := group[:0:0]
		for _, p := range group {
			grown, ch, refused := p.op.apply(b, size)
			if refused != nil {
				p.done <- refused
				continue
			}
			size += grown
			changed = changed || ch
			remaining = append(remaining, p)
		}
		group = remaining
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
