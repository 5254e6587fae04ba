package front

import (
	"crypto/sha256"
	"net/http"
	"strings"

	"rhubarbstall.example/platform"
)

// minKeyLimit is the shortest limit on the length of a key, in bytes, so that the limit does not tell much about the
// configured keys.
const minKeyLimit = 256

// keyTable finds the client account of an API key. It holds digests of the keys: a lookup takes the same time
// whether or not the beginning of a key matches, and no key can end up in a log through it.
type keyTable struct {
	accounts map[[sha256.Size]byte]string
	// limit is the length in bytes above which a key is not known, so that the work of a check is bounded.
	limit int
}

func newKeyTable(accounts []platform.ClientAccount) *keyTable {
	t := &keyTable{accounts: make(map[[sha256.Size]byte]string), limit: minKeyLimit}
	for _, a := range accounts {
		for _, key := range a.APIKeys {
			t.accounts[sha256.Sum256([]byte(key))] = a.Name
			t.limit = max(t.limit, len(key))
		}
	}
	return t
}

// account returns the client account of a key.
func (t *keyTable) account(key string) (string, bool) {
	if len(key) > t.limit {
		return "", false
	}
	name, ok := t.accounts[sha256.Sum256([]byte(key))]
	return name, ok
}

// bearerScheme is the authentication scheme of the Authorization header, in lower case.
const bearerScheme = "bearer"

// bearerKey returns the key in an Authorization header; false if the header is malformed or not the only one.
func bearerKey(header []string) (string, bool) {
	if len(header) != 1 {
		return "", false
	}
	scheme, key, _ := strings.Cut(strings.TrimSpace(header[0]), " ")
	key = strings.TrimSpace(key)
	return key, key != "" && strings.EqualFold(scheme, bearerScheme)
}

// authenticate returns the client account of a request, or why the request is refused. A key that is sent has to be
// known on public routes as well. refusesKeys reports whether keys cannot be checked, because the configuration may
// not be the newest.
func (c *routeTable) authenticate(r *http.Request, route platform.Route, refusesKeys func() bool) (requester, keyFailure) {
	if c.keys == nil {
		return requester{}, ""
	}
	anonymous := requester{accountsInUse: true}
	header := r.Header.Values("Authorization")
	switch {
	case len(header) == 0 && route.Public:
		return anonymous, ""
	case len(header) == 0:
		return anonymous, keyMissing
	}
	key, ok := bearerKey(header)
	if !ok {
		return anonymous, keyMalformed
	}
	if refusesKeys != nil && refusesKeys() {
		return anonymous, keyNotChecked
	}
	account, ok := c.keys.account(key)
	if !ok {
		return anonymous, keyUnknown
	}
	return requester{account, true}, ""
}
