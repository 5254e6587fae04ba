package peer

// Request is the argument of the one net/rpc method. Body is the JSON form of
// the method's argument type.
type Request struct {
	Method string
	// From is the identity of the sending entry VM.
	From string
	// TimeoutMillis is the time left for the call.
	TimeoutMillis int64
	// Trace carries the W3C trace context.
	Trace map[string]string
	Body  []byte
}

// Response is the reply of the one net/rpc method.
type Response struct {
	Status Status
	Body   []byte
}
