package command

import "rhubarbstall.example/api/oas"

// problem is a numbered error of the server or of a local check.
type problem struct {
	oas.Problem
}

func (p *problem) Error() string { return p.Message }
