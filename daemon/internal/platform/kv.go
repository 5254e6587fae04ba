package platform

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	wire "rhubarbstall.example/wire/platform"
)

// listPageEntries is the number of entries requested per page of a list. Segments are
// up to 256 KB, so a page of them stays below 3 MB in base64.
const listPageEntries = 8

// Get returns the entry, or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (wire.Entry, error) {
	var e wire.Entry
	err := c.do(ctx, call{op: "get", method: http.MethodGet, target: wire.PathKV + "?" + url.Values{"key": {key}}.Encode()}, &e)
	return e, err
}

// Put writes a key. A write that may have been sent is not retried, because its
// outcome is unknown without a response; see PutConfirmed.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifRevision uint64, leaseID string) (uint64, error) {
	if len(value) > wire.MaxValueBytes {
		return 0, ErrTooLarge
	}
	req := wire.PutRequest{Key: key, Value: value, LeaseID: leaseID}
	if ifRevision != AnyRevision {
		req.IfRevision = &ifRevision
	}
	var resp wire.PutResponse
	err := c.do(ctx, call{op: "put", method: http.MethodPut, target: wire.PathKV, body: req, write: true}, &resp)
	return resp.Revision, err
}

// Delete removes a key.
func (c *Client) Delete(ctx context.Context, key string, ifRevision uint64) error {
	q := url.Values{"key": {key}}
	if ifRevision != AnyRevision {
		q.Set("if_revision", strconv.FormatUint(ifRevision, 10))
	}
	return c.do(ctx, call{op: "delete", method: http.MethodDelete, target: wire.PathKV + "?" + q.Encode(), write: true}, nil)
}

// List returns every entry with the prefix. The revision is that of the first page, so
// that a watch from there reports a write that happened between two pages, which the
// list may not contain.
func (c *Client) List(ctx context.Context, prefix string) ([]wire.Entry, uint64, error) {
	var all []wire.Entry
	var revision uint64
	after := ""
	for {
		q := url.Values{"prefix": {prefix}, "limit": {strconv.Itoa(listPageEntries)}}
		if after != "" {
			q.Set("after", after)
		}
		var page wire.ListResponse
		if err := c.do(ctx, call{op: "list", method: http.MethodGet, target: wire.PathList + "?" + q.Encode()}, &page); err != nil {
			return nil, 0, err
		}
		if revision == 0 {
			revision = page.Revision
		}
		all = append(all, page.Entries...)
		if !page.More || len(page.Entries) == 0 {
			return all, revision, nil
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
}

// Watch returns the changes to keys with the prefix after a revision.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (wire.WatchResponse, error) {
	q := url.Values{
		"prefix":         {prefix},
		"after_revision": {strconv.FormatUint(after, 10)},
		"wait_ms":        {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var resp wire.WatchResponse
	err := c.do(ctx, call{
		op: "watch", method: http.MethodGet, target: wire.PathWatch + "?" + q.Encode(),
		timeout: wait + callTimeout,
	}, &resp)
	return resp, err
}

// VMs returns the platform's list of VMs.
func (c *Client) VMs(ctx context.Context) ([]wire.VM, error) {
	list, err := c.ListVMs(ctx, wire.VMQuery{})
	return list.VMs, err
}

// ListVMs returns the selected part of the platform's list of VMs.
func (c *Client) ListVMs(ctx context.Context, q wire.VMQuery) (wire.VMList, error) {
	params := url.Values{}
	if q.AvailabilityZone != "" {
		params.Set(wire.ParamZone, q.AvailabilityZone)
	}
	if q.Role != "" {
		params.Set(wire.ParamRole, string(q.Role))
	}
	if q.Revision != 0 {
		params.Set(wire.ParamRevision, strconv.FormatUint(q.Revision, 10))
	}
	target := wire.PathVMs
	if len(params) > 0 {
		target += "?" + params.Encode()
	}
	var list wire.VMList
	err := c.do(ctx, call{op: "vms", method: http.MethodGet, target: target}, &list)
	return list, err
}
