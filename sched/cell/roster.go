package cell

// The roster is the list of runners in the store. Runs start only on runners that it lists, so the next
// scheduler knows where runs may exist, even if the entries of runners have expired.

// Roster returns the runners to be listed in the store: those that have reported, since runs start
// only there, and those that the store lists already. An entry at whose address no runner answers, for
// example one of another writer, is left out.
func (c *Cell) Roster() []RunnerInfo {
	roster := make([]RunnerInfo, 0, len(c.sortedRunners))
	for _, r := range c.sortedRunners {
		if r.reported || r.inStoredRoster {
			roster = append(roster, r.info)
		}
	}
	return roster
}

// HasReported reports whether the present incarnation of a runner has reported.
func (c *Cell) HasReported(id string) bool {
	r := c.runners[id]
	return r != nil && r.reported
}

// SetInheritedRoster records the roster that the store had at the takeover. Only on these runners may an
// earlier scheduler have started runs. Until it is called, runs may exist on every known runner.
func (c *Cell) SetInheritedRoster(roster []RunnerInfo) {
	c.inheritedRoster = make(map[string]bool, len(roster))
	for _, info := range roster {
		c.inheritedRoster[info.ID] = true
	}
	c.SetStoredRoster(roster)
}

// SetStoredRoster records that the store lists these runners, so that work may start on
// them.
func (c *Cell) SetStoredRoster(roster []RunnerInfo) {
	c.storedRosterStale = false
	for _, info := range roster {
		if r := c.runners[info.ID]; r != nil {
			r.inStoredRoster = true
		} else {
			c.storedRosterStale = true
		}
	}
}

// StoredRosterCurrent reports whether the store lists exactly the runners of Roster. A listed
// runner that no longer exists would delay the next scheduler, which waits for its report.
func (c *Cell) StoredRosterCurrent() bool {
	for _, r := range c.sortedRunners {
		if r.reported && !r.inStoredRoster {
			return false
		}
	}
	return !c.storedRosterStale
}
