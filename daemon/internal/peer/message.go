package peer

// Request is the argument of the only net/rpc method. Method is the peer method to call and
// Body is its argument in JSON. The field names are part of the wire format.
type Request struct {
	Method string
	// From is the identity of the sending entry VM.
	From string
	// TimeoutMillis is the time left until the caller's deadline.
	TimeoutMillis int64
	// Trace carries the W3C trace context.
	Trace map[string]string
	Body  []byte
}

// Response is the reply of the only net/rpc method. Body is the peer method's result in JSON.
// The field names are part of the wire format.
type Response struct {
	Status Status
	Body   []byte
}
