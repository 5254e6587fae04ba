package cell

// occurrenceSet is a set of the numbers of occurrences. The zero value is empty.
type occurrenceSet struct {
	bits  []byte
	count int
}

// add adds a number below limit.
func (s *occurrenceSet) add(number, limit int) {
	if s.contains(number) {
		return
	}
	if s.bits == nil {
		s.bits = make([]byte, (limit+7)/8)
	}
	s.bits[number/8] |= 1 << (number % 8)
	s.count++
}

func (s *occurrenceSet) contains(number int) bool {
	return number/8 < len(s.bits) && s.bits[number/8]&(1<<(number%8)) != 0
}
