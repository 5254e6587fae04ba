package jobs

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

const (
	// maxSegmentBytes bounds the encoded size of a segment. It is below the platform's
	// limit of 1 MB, because every change rewrites the whole segment.
	maxSegmentBytes = 256 << 10
	// maxFillSegmentBytes is the size up to which new jobs are added to a segment. The
	// remaining space is reserved for their outcomes.
	maxFillSegmentBytes = 192 << 10
)

// segment is one platform record that contains many jobs. Its fields are guarded by
// jobStore.mu.
type segment struct {
	number   int
	key      string
	revision uint64
	records  map[string]*record
	// size is the size of the last encoding plus that of the records added since, in bytes.
	size int
	// dirty means that the segment has changes that are not stored, urgent that a caller
	// waits for the write, and writing that a write is in progress.
	dirty   bool
	urgent  bool
	writing bool
	// dirtySince is the time of the oldest change that is not stored, in Unix
	// nanoseconds. Segments are written in this order.
	dirtySince int64
	// writeAfter contains the segments that must be stored before this one, because
	// records of this segment were moved to them.
	writeAfter map[*segment]bool
	// waiters are notified by the next write that starts.
	waiters []waiter
}

// waiter is notified of the result of a write.
type waiter struct {
	// done is called with nil once the change is stored, without the lock of the jobStore.
	done func(error)
	// undo reverts the change after a write that had no effect. It returns false if an
	// earlier write may have stored the change. It is called with the lock of the
	// jobStore held.
	undo func() bool
}

// segmentValue is the encoded form of a segment. Writer makes each value unique.
type segmentValue struct {
	Writer string    `json:"writer"`
	Jobs   []*record `json:"jobs"`
}

func segmentPrefix(zone string) string { return "jobs/" + zone + "/" }

func segmentKey(zone string, number int) string {
	return fmt.Sprintf("%s%08d", segmentPrefix(zone), number)
}

func segmentNumber(zone, key string) (int, error) {
	return strconv.Atoi(strings.TrimPrefix(key, segmentPrefix(zone)))
}

// sorted returns the records ordered by ID.
func (s *segment) sorted() []*record {
	list := make([]*record, 0, len(s.records))
	for _, r := range s.records {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *record) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// encode returns the JSON encoding of the segment.
func (s *segment) encode(writer string) ([]byte, error) {
	return json.Marshal(segmentValue{Writer: writer, Jobs: s.sorted()})
}

func decodeSegment(value []byte) (*segmentValue, error) {
	v := new(segmentValue)
	if err := json.Unmarshal(value, v); err != nil {
		return nil, err
	}
	for _, r := range v.Jobs {
		if r == nil || r.ID == "" {
			return nil, fmt.Errorf("job without an ID")
		}
		// Everything that was read back is stored.
		r.persisted, r.cancelStored = true, r.Cancelled
		r.storedIntents.union(&r.Intended)
	}
	return v, nil
}
