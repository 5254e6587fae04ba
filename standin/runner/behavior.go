package runner

import (
	"encoding/json"
	"time"
)

// Behavior is the JSON request body with which a test controls how a request is served. A
// request with any other body takes the service time of its kind.
type Behavior struct {
	// ServiceMillis replaces the service time of the kind.
	ServiceMillis int64 `json:"service_ms,omitempty"`
	// Fail answers 500 after the service time.
	Fail bool `json:"fail,omitempty"`
	// Truncate aborts the connection in the middle of the answer.
	Truncate bool `json:"truncate,omitempty"`
	// Misdirect sends the complete answer to another request, with the ID of that request.
	Misdirect bool `json:"misdirect,omitempty"`
	// Hang sends no answer. The slot is released when the sender closes the connection or the
	// runner is drained.
	Hang bool `json:"hang,omitempty"`
}

func behaviorOf(body []byte) Behavior {
	var b Behavior
	if json.Unmarshal(body, &b) != nil {
		return Behavior{}
	}
	return b
}

func (o *Options) serviceTime(kind string, b Behavior) time.Duration {
	if b.ServiceMillis > 0 {
		return time.Duration(b.ServiceMillis) * time.Millisecond
	}
	if d, ok := o.ServiceTimes[kind]; ok {
		return d
	}
	return o.DefaultServiceTime
}
