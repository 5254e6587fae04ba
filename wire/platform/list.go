package platform

// ListResponse is the answer to GET /v1/list?prefix=P&after=KEY&limit=N, in key
// order. Revision is the store-wide revision at which the keys were read. More reports
// whether there are further keys beyond the limit.
type ListResponse struct {
	Entries  []Entry `json:"entries"`
	Revision uint64  `json:"revision"`
	More     bool    `json:"more,omitempty"`
}
