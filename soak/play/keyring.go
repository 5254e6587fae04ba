package play

import (
	"fmt"
	"sync"
	"time"
)

// keyPrefix begins each API key of a run, so that one in a log is found.
const keyPrefix = "soakkey"

// accountNames are the client accounts of a run with accounts.
var accountNames = []string{"astronomy", "biology", "chemistry"}

// accountOf returns the client account that submits a job.
func accountOf(id string) string { return accountNames[int(id[len(id)-1])%len(accountNames)] }

// apiKey is an API key that the operator has issued.
type apiKey struct {
	value, account string
	// added and removed are when the store acknowledged the version that added and removed the key; zero before.
	added, removed time.Time
	// listed tells whether the newest version has the key.
	listed bool
}

// keyring holds the API keys of a run. Each account has two, unless all of its keys are removed.
type keyring struct {
	mu   sync.Mutex
	keys []*apiKey
	// policies holds the weight and the limit of each account.
	policies map[string]accountPolicy
}

func newKeyring() *keyring {
	r := &keyring{policies: make(map[string]accountPolicy)}
	for _, account := range accountNames {
		r.policies[account] = accountPolicy{maxWeight, maxLimit}
		r.issue(account)
		r.issue(account)
	}
	return r
}

func (r *keyring) issue(account string) {
	r.keys = append(r.keys, &apiKey{value: fmt.Sprintf("%s-%s-%d", keyPrefix, account, len(r.keys)), account: account, listed: true})
}

// rotate removes the oldest key of an account and issues keys until it has two.
func (r *keyring) rotate(account string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := r.listed(account)
	if len(listed) > 0 {
		listed[0].listed = false
	}
	for range 3 - max(1, len(listed)) {
		r.issue(account)
	}
}

// removeAll removes all keys of an account.
func (r *keyring) removeAll(account string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range r.listed(account) {
		k.listed = false
	}
}

// listed returns the keys of an account in the newest version, the oldest first. The caller holds the lock.
func (r *keyring) listed(account string) []*apiKey {
	var out []*apiKey
	for _, k := range r.keys {
		if k.account == account && k.listed {
			out = append(out, k)
		}
	}
	return out
}

// tenants returns the accounts as the operator's configuration lists them.
func (r *keyring) tenants() []map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []map[string]any
	for _, account := range accountNames {
		keys := []string{}
		for _, k := range r.listed(account) {
			keys = append(keys, k.value)
		}
		out = append(out, map[string]any{"name": account, "api_keys": keys, "weight": r.policies[account].weight, "priority": 1, "upper_bound": map[string]any{"cpu": r.policies[account].limitMilliCPU}})
	}
	return out
}

// acknowledge records that the store has acknowledged the newest version.
func (r *keyring) acknowledge(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range r.keys {
		if k.listed && k.added.IsZero() {
			k.added = now
		}
		if !k.listed && k.removed.IsZero() {
			k.removed = now
		}
	}
}

// current returns the oldest key of an account in the newest version, which most VMs know; "" if it has none.
func (r *keyring) current(account string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if listed := r.listed(account); len(listed) > 0 {
		return listed[0].value
	}
	return ""
}

// at returns a copy of the issued key with an index, which is taken modulo the number of keys.
func (r *keyring) at(n int) apiKey {
	r.mu.Lock()
	defer r.mu.Unlock()
	return *r.keys[n%len(r.keys)]
}

// find returns a copy of the issued key with the given text.
func (r *keyring) find(value string) apiKey {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range r.keys {
		if k.value == value {
			return *k
		}
	}
	return apiKey{}
}
