package jobs

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"iter"
	"math/bits"
	"slices"
	"strconv"
	"strings"
)

// indexSet is a set of task indexes below MaxTasks. It is encoded as ranges
// ("0-5,7") or as a base64 bitmap ("=…"), whichever is shorter, so that an array of
// 20,000 tasks takes at most 3.4 KB in any order of its outcomes.
type indexSet struct {
	words []uint64
	n     int
}

func (s *indexSet) has(i int) bool {
	return i >= 0 && i/64 < len(s.words) && s.words[i/64]&(1<<(i%64)) != 0
}

// add adds an index and reports whether it is new.
func (s *indexSet) add(i int) bool {
	if i < 0 || i >= MaxTasks || s.has(i) {
		return false
	}
	for i/64 >= len(s.words) {
		s.words = append(s.words, 0)
	}
	s.words[i/64] |= 1 << (i % 64)
	s.n++
	return true
}

// union adds every index of o and reports whether any is new.
func (s *indexSet) union(o *indexSet) bool {
	changed := false
	for i := range o.all() {
		changed = s.add(i) || changed
	}
	return changed
}

func (s *indexSet) all() iter.Seq[int] {
	return func(yield func(int) bool) {
		for w, word := range s.words {
			for word != 0 {
				if !yield(w*64 + bits.TrailingZeros64(word)) {
					return
				}
				word &= word - 1
			}
		}
	}
}

// IsZero reports whether the set is empty, so that the JSON encoder omits it.
func (s indexSet) IsZero() bool { return s.n == 0 }

// MarshalText returns the shorter encoding.
func (s indexSet) MarshalText() ([]byte, error) {
	limit := 1 + base64.StdEncoding.EncodedLen(len(s.words)*8)
	if out, ok := s.ranges(limit); ok {
		return out, nil
	}
	raw := make([]byte, 0, len(s.words)*8)
	for _, w := range s.words {
		raw = binary.LittleEndian.AppendUint64(raw, w)
	}
	return base64.StdEncoding.AppendEncode([]byte{'='}, raw), nil
}

// ranges returns the encoding as ranges if it has at most limit bytes.
func (s indexSet) ranges(limit int) ([]byte, bool) {
	var out []byte
	first, last := -1, -2
	flush := func() {
		if first < 0 {
			return
		}
		if len(out) > 0 {
			out = append(out, ',')
		}
		out = strconv.AppendInt(out, int64(first), 10)
		if last > first {
			out = append(out, '-')
			out = strconv.AppendInt(out, int64(last), 10)
		}
	}
	for i := range s.all() {
		if i != last+1 {
			flush()
			if len(out) > limit {
				return nil, false
			}
			first = i
		}
		last = i
	}
	flush()
	return out, len(out) <= limit
}

// UnmarshalText decodes either encoding.
func (s *indexSet) UnmarshalText(text []byte) error {
	*s = indexSet{}
	if len(text) == 0 {
		return nil
	}
	if text[0] == '=' {
		raw, err := base64.StdEncoding.DecodeString(string(text[1:]))
		if err != nil || len(raw)%8 != 0 || len(raw) > MaxTasks/8+8 {
			return fmt.Errorf("invalid bitmap of task indexes")
		}
		for i := 0; i < len(raw); i += 8 {
			w := binary.LittleEndian.Uint64(raw[i:])
			s.words = append(s.words, w)
			s.n += bits.OnesCount64(w)
		}
		return nil
	}
	for _, part := range strings.Split(string(text), ",") {
		a, b, isRange := strings.Cut(part, "-")
		first, err := strconv.Atoi(a)
		last := first
		if err == nil && isRange {
			last, err = strconv.Atoi(b)
		}
		if err != nil || first < 0 || last < first || last >= MaxTasks {
			return fmt.Errorf("invalid range of task indexes %q", part)
		}
		for i := first; i <= last; i++ {
			s.add(i)
		}
	}
	return nil
}

func (s *indexSet) clone() indexSet {
	return indexSet{words: slices.Clone(s.words), n: s.n}
}
