package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/api/oas"
)

// errorReport is the form in which an error is printed: as JSON with -o json, else as text.
type errorReport struct {
	Code         int         `json:"code,omitempty"`
	Name         string      `json:"name"`
	Message      string      `json:"message"`
	Action       string      `json:"action,omitempty"`
	Outcome      oas.Outcome `json:"outcome,omitempty"`
	RetryAfterMs int64       `json:"retry_after_ms,omitempty"`
	Details      []string    `json:"details,omitempty"`
	ExitCode     int         `json:"exit_code"`
}

// reportError prints an error and returns the exit code.
func (a *app) reportError(err error) int {
	r := newErrorReport(err)
	if a.output == outputJSON {
		text, _ := json.Marshal(r)
		_, _ = fmt.Fprintf(a.env.Stderr, "%s\n", text)
	} else {
		_, _ = fmt.Fprint(a.env.Stderr, r.text())
	}
	return r.ExitCode
}

func newErrorReport(err error) errorReport {
	r := errorReport{Name: "failure", Message: err.Error(), ExitCode: exitCode(err)}
	var p *problem
	var n *noAnswerError
	var u *usageError
	var j *jobEndedError
	switch {
	case errors.As(err, &p):
		r.Code, r.Name, r.Details = p.Code, p.Name, p.Details
		r.Outcome, r.RetryAfterMs = p.Outcome.Or(""), p.RetryAfterMs.Or(0)
		r.Action = codes.Code(p.Code).Info().Action
	case errors.As(err, &n):
		r.Name, r.Action = "no_answer", n.action()
		if !n.sent {
			r.Name, r.Outcome = "not_sent", oas.OutcomeNotRun
		} else if n.mutating {
			r.Outcome = oas.OutcomeUnknown
		}
	case errors.As(err, &u):
		r.Name = "usage"
	case errors.As(err, &j):
		r.Name = "job_ended"
	}
	return r
}

func (r errorReport) text() string {
	var b strings.Builder
	if r.Code > 0 {
		fmt.Fprintf(&b, "error %d %s: %s\n", r.Code, r.Name, r.Message)
	} else {
		fmt.Fprintf(&b, "error: %s\n", r.Message)
	}
	for _, line := range r.Details {
		fmt.Fprintf(&b, "  %s\n", line)
	}
	if r.Outcome != "" && r.Code > 0 {
		fmt.Fprintf(&b, "outcome: %s\n", outcomeText(r.Outcome))
	}
	if r.Action != "" {
		fmt.Fprintf(&b, "what to do: %s\n", r.Action)
	}
	if r.RetryAfterMs > 0 {
		fmt.Fprintf(&b, "try again after: %s\n", time.Duration(r.RetryAfterMs)*time.Millisecond)
	}
	return b.String()
}

// outcomeText describes an outcome for the operator.
func outcomeText(o oas.Outcome) string {
	switch o {
	case oas.OutcomeNotRun:
		return "nothing was run"
	case oas.OutcomeInProgress:
		return "in progress"
	default:
		return "unknown; it may have run"
	}
}

// problemOf converts an error of a local check, which has a result code, to a problem.
func problemOf(err error) error {
	code := codes.Of(err)
	return &problem{oas.Problem{
		Code: int(code), Name: code.Info().Name, Message: err.Error(), Details: codes.DetailsOf(err),
	}}
}
