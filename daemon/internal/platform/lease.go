package platform

import (
	"context"
	"net/http"
	"net/url"
	"time"

	wire "rhubarbstall.example/wire/platform"
)

// GrantLease returns the ID of a new lease. If the response is lost, the lease expires
// unused.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (string, error) {
	var l wire.Lease
	err := c.do(ctx, call{
		op: "grant_lease", method: http.MethodPost, target: wire.PathLeases,
		body: wire.LeaseRequest{TTLMillis: ttl.Milliseconds()}, write: true, skipBudgetWait: true,
	}, &l)
	return l.ID, err
}

// RenewLease renews a lease. It returns ErrNotFound if the lease has expired.
func (c *Client) RenewLease(ctx context.Context, id string) error {
	return c.do(ctx, call{
		op: "renew_lease", method: http.MethodPost, target: wire.PathLeases + "/" + url.PathEscape(id),
		write: true, skipBudgetWait: true,
	}, nil)
}

// RevokeLease ends a lease and deletes its keys.
func (c *Client) RevokeLease(ctx context.Context, id string) error {
	return c.do(ctx, call{
		op: "revoke_lease", method: http.MethodDelete, target: wire.PathLeases + "/" + url.PathEscape(id),
		write: true, skipBudgetWait: true,
	}, nil)
}
