package front

import "rhubarbstall.example/sched/cell"

// requester is the client account that a request comes from.
type requester struct {
	// account is empty if the deployment has no accounts, and for requests without a key on a public route.
	account string
	// accountsInUse tells whether the deployment has accounts, so that the owner of a job has to be looked up.
	accountsInUse bool
}

// mayAccess reports whether the requester may see and cancel a job of the account owner.
func (r requester) mayAccess(owner string) bool {
	return !r.accountsInUse || cell.MayAccess(r.account, owner)
}
