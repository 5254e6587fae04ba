package queue

func (l *Lane) Entries() []*Entry {
	var out []*Entry
	for _, e := range l.entries[l.head:] {
		if e != nil {
			out = append(out, e)
		}
	}
	return out
}
