package jobs

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

const (
	// maxSegmentBytes bounds the stored form of a segment. It is below the
	// platform's limit of 1 MB, since every change rewrites the whole segment.
	maxSegmentBytes = 256 << 10
	// fillSegmentBytes is the size up to which a segment takes new jobs. The rest
	// is for their outcomes.
	fillSegmentBytes = 192 << 10
)

// segment is one platform record with many jobs. Its fields are under the
// ledger's lock.
type segment struct {
	number   int
	key      string
	revision uint64
	records  map[string]*record
	// size is the length of the last encoding plus the records added since.
	size int
	// dirty tells that the memory is ahead of the platform; urgent that somebody
	// waits for the write; writing that a write is in progress.
	dirty   bool
	urgent  bool
	writing bool
	// dirtySince orders the writes.
	dirtySince int64
	// after holds segments that took over records and have to be stored first.
	after map[*segment]bool
	// waiters are told about the next write that starts from now on.
	waiters []waiter
}

// waiter is told the result of a write.
type waiter struct {
	// done gets nil once the change is stored. It runs without the ledger's lock.
	done func(error)
	// undo takes the change back after a write that had no effect. It reports
	// false if an earlier write may have stored the change. It runs with the
	// ledger's lock held.
	undo func() bool
}

// segmentValue is the stored form of a segment. Writer makes each value unique.
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

// sorted returns the records in order of identity.
func (s *segment) sorted() []*record {
	list := make([]*record, 0, len(s.records))
	for _, r := range s.records {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *record) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// encode returns the stored form.
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
			return nil, fmt.Errorf("a job without identity")
		}
		// What is read back was stored.
		r.accepted, r.cancelStored = true, r.Cancelled
		r.stored.union(&r.Intended)
	}
	return v, nil
}
