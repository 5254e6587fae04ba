package quorum

// Epoch is a fencing token: the roster revision in the upper 32 bits and the term
// in the lower 32 bits. A voter refuses requests with a lower epoch than it has seen.
type Epoch uint64

// MakeEpoch combines a roster revision and a term.
func MakeEpoch(revision, term uint32) Epoch {
	return Epoch(revision)<<32 | Epoch(term)
}

// Revision returns the upper 32 bits.
func (e Epoch) Revision() uint32 { return uint32(e >> 32) }

// Term returns the lower 32 bits.
func (e Epoch) Term() uint32 { return uint32(e) }
