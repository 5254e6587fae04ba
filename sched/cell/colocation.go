package cell

import "slices"

// maxRunnerClasses is how many classes a runner keeps track of. Where tasks of more classes run within the lifetime of a
// run, that run is not compared.
const maxRunnerClasses = 16

// colocation sums up what ran on a runner, with constant work for each run that starts or ends. A run compares the sums
// at its end with those at its start.
type colocation struct {
	classes []classPresence
	// cpuMillis is the integral of the claimed milli-CPU over time up to changedAt, and milliCPU what is claimed.
	cpuMillis uint64
	milliCPU  int64
	changedAt termMillis
	// untracked counts the runs whose class found no place in classes. What ran before incompleteUntil may be missing.
	untracked       int
	incomplete      bool
	incompleteUntil termMillis
}

func (l *colocation) find(class classID) *classPresence {
	for i := range l.classes {
		if l.classes[i].class == class {
			return &l.classes[i]
		}
	}
	return nil
}

func (l *colocation) advance(at termMillis) {
	l.cpuMillis += uint64(max(0, l.milliCPU)) * uint64(at-l.changedAt)
	l.changedAt = at
}

func (l *colocation) markIncomplete(until termMillis) {
	if !l.incomplete || int32(until-l.incompleteUntil) > 0 {
		l.incomplete, l.incompleteUntil = true, until
	}
}

// add counts a run that starts.
func (l *colocation) add(at termMillis, class classID, milliCPU int64) {
	l.advance(at)
	l.milliCPU += milliCPU
	p := l.find(class)
	if p == nil {
		p = l.place()
	}
	if p == nil {
		l.untracked++
		return
	}
	if p.class != class {
		*p = classPresence{class: class, changedAt: at, placedAt: at}
	}
	p.advance(at)
	p.runs++
}

// place returns a free entry of the table, or the entry of the class that has been without runs for longest; nil if
// all classes have runs.
func (l *colocation) place() *classPresence {
	if len(l.classes) < maxRunnerClasses {
		l.classes = append(l.classes, classPresence{})
		return &l.classes[len(l.classes)-1]
	}
	var oldest *classPresence
	for i := range l.classes {
		if p := &l.classes[i]; p.runs == 0 && (oldest == nil || int32(p.changedAt-oldest.changedAt) < 0) {
			oldest = p
		}
	}
	if oldest != nil {
		l.markIncomplete(oldest.changedAt)
	}
	return oldest
}

// remove counts the end of a run that add counted.
func (l *colocation) remove(at termMillis, class classID, milliCPU int64) {
	l.advance(at)
	l.milliCPU -= milliCPU
	if p := l.find(class); p != nil && p.runs > 0 {
		p.advance(at)
		p.runs--
		return
	}
	l.untracked--
	l.markIncomplete(at)
}

// colocationMark holds the sums of a runner at the start of a run, or of an interval of a serving run.
type colocationMark struct {
	at        termMillis
	cpuMillis uint64
	beside    []besideMark
	early     earlyNeighbors
	// tail averages the tail latency of a serving run.
	tail tailInterval
}

type besideMark struct {
	class  classID
	millis uint32
}

// mark returns the present sums for a run of the given class.
func (l *colocation) mark(at termMillis, own classID) *colocationMark {
	l.advance(at)
	m := &colocationMark{at: at, cpuMillis: l.cpuMillis, early: earlyNeighbors{observed: true}}
	for i := range l.classes {
		p := &l.classes[i]
		p.advance(at)
		if millis := p.besideMillis(own); millis > 0 {
			if m.beside == nil {
				m.beside = make([]besideMark, 0, len(l.classes)-i)
			}
			m.beside = append(m.beside, besideMark{p.class, millis})
		}
	}
	return m
}

// neighbors is what ran beside a run.
type neighbors struct {
	// known is false if that is not known completely.
	known bool
	// load is the share of the runner's CPU that other runs had claimed, averaged over the run.
	load float32
	// shares holds the classes that ran beside it.
	shares []classShare
}

// classShare is the share of the time of a run during which at least one run of a class was beside it.
type classShare struct {
	class classID
	share float32
}

// since returns what ran beside a run of the given class since the mark.
func (l *colocation) since(m *colocationMark, at termMillis, own classID, ownMilliCPU, capacityMilliCPU int64) neighbors {
	passed := uint32(at - m.at)
	if passed == 0 || capacityMilliCPU <= 0 || l.untracked > 0 || (l.incomplete && int32(l.incompleteUntil-m.at) >= 0) {
		return neighbors{}
	}
	l.advance(at)
	mean := float64(l.cpuMillis-m.cpuMillis) / float64(passed)
	n := neighbors{known: true, load: float32(min(max(0, (mean-float64(ownMilliCPU))/float64(capacityMilliCPU)), 1))}
	for i := range l.classes {
		p := &l.classes[i]
		p.advance(at)
		millis := p.besideMillis(own)
		if int32(p.placedAt-m.at) < 0 {
			if k := slices.IndexFunc(m.beside, func(b besideMark) bool { return b.class == p.class }); k >= 0 {
				millis -= m.beside[k].millis
			}
		}
		if share := min(1, float32(millis)/float32(passed)); share > 0 {
			n.shares = append(n.shares, classShare{p.class, share})
		}
	}
	return n
}
