package relay

// pendingCall is a call that waits for its answer.
type pendingCall struct {
	call Call
	// payload is the payload of a start.
	payload string
	// done receives the outcome once.
	done chan outcome
}

// outcome is the answer to a call, or the error for which there is none.
type outcome struct {
	answer Answer
	err    error
}

func (p *pendingCall) finish(o outcome) { p.done <- o }
