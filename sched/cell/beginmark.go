package cell

import "time"

// beginMarkLead is how long before its due time a group is marked as begun. It leaves time
// for a few calls to a slow store.
const beginMarkLead = 2 * time.Second

// markBegun sets the begin mark of a group: runs of it may exist. The mark matters at a
// takeover with many waiting groups. Without it the next scheduler would have to assume for
// every waiting group that it may run on a runner that does not answer.
func (c *Cell) markBegun(g *group) {
	if g.begun {
		return
	}
	g.begun = true
	c.markOccurrenceBegun(g)
	c.markDirty(g.job)
	g.job.writeAwaited = true
	g.begunVersion = g.job.version
}

// beginMarkStored reports whether the store holds the begin mark of a group. Writes of an
// earlier scheduler fail from the takeover on, so two schedulers cannot both begin a group
// without the later one seeing the mark.
func (g *group) beginMarkStored() bool { return g.begun && g.job.savedVersion >= g.begunVersion }

// runsKnown reports whether every run of a group that an earlier scheduler may have started
// is known.
func (c *Cell) runsKnown(g *group) bool { return !g.begunEarlier || c.inheritedRunsKnown }
