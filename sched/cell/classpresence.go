package cell

// termMillis is the time since the takeover in milliseconds. Differences are valid for 49 days.
type termMillis uint32

// classPresence sums up for how long runs of a class were on a runner.
type classPresence struct {
	class classID
	runs  uint32
	// one and two are for how long there was at least one run, and were at least two, up to changedAt.
	one, two  uint32
	changedAt termMillis
	// placedAt is since when the class has its place; the sums begin then.
	placedAt termMillis
}

func (p *classPresence) advance(at termMillis) {
	passed := uint32(at - p.changedAt)
	if p.runs >= 1 {
		p.one += passed
	}
	if p.runs >= 2 {
		p.two += passed
	}
	p.changedAt = at
}

// besideMillis returns for how long a run of the given class had a run of the present class beside it, the run itself
// not counted.
func (p *classPresence) besideMillis(own classID) uint32 {
	if p.class == own {
		return p.two
	}
	return p.one
}
