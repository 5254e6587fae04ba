package command

import "rhubarbstall.example/api/oas"

// problem is an error with a result code, from the server or from a local check.
type problem struct {
	oas.Problem
}

func (p *problem) Error() string { return p.Message }
