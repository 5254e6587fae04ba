package platform

// ListResponse answers GET /v1/list?prefix=P&after=KEY&limit=N, in key order.
// Revision is the store-wide revision that the answer reflects; More is set if
// keys beyond the limit exist.
type ListResponse struct {
	Entries  []Entry `json:"entries"`
	Revision uint64  `json:"revision"`
	More     bool    `json:"more,omitempty"`
}
