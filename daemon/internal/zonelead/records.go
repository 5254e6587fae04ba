package zonelead

import "rhubarbstall.example/sched/quorum"

// rosterRecord is the value of zones/<zone>/roster. The writer and the revision of
// the roster together make the value of each write unique, as PutConfirmed requires.
type rosterRecord struct {
	quorum.Roster
	Writer string `json:"writer"`
}

// voteRecord is the value of zones/<zone>/vote. The key is bound to the lease of its
// writer.
type voteRecord struct {
	Owner string `json:"owner"`
	Lease string `json:"lease"`
}

func rosterKey(zone string) string { return "zones/" + zone + "/roster" }

func voteKey(zone string) string { return "zones/" + zone + "/vote" }
