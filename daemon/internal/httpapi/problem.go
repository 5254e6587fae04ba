package httpapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	ht "github.com/ogen-go/ogen/http"
	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/ogen-go/ogen/validate"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/api/oas"
)

// problemFromError converts an error to the response for the caller.
func problemFromError(err error) *oas.ProblemStatusCode {
	err = addCode(err)
	code := codes.Of(err)
	info := code.Info()
	p := oas.Problem{Code: int(code), Name: info.Name, Message: err.Error(), Details: codes.DetailsOf(err)}
	if o := codes.OutcomeOf(err); o != "" {
		p.Outcome = oas.NewOptOutcome(oas.Outcome(o))
	}
	if d := codes.RetryAfterOf(err); d > 0 {
		p.RetryAfterMs = oas.NewOptInt64(max(1, d.Milliseconds()))
	}
	return &oas.ProblemStatusCode{StatusCode: info.Status, Response: p}
}

// addCode adds a result code to errors of the generated server, which have none.
func addCode(err error) error {
	var (
		tooLarge *http.MaxBytesError
		invalid  *validate.Error
		body     *ogenerrors.DecodeRequestError
		params   *ogenerrors.DecodeParamsError
	)
	notRun := codes.WithOutcome(codes.OutcomeNotRun)
	switch {
	case errors.As(err, &tooLarge):
		return codes.BodyTooLarge.With("the body is larger than the limit", notRun)
	case errors.As(err, &invalid):
		return codes.InvalidValue.With(err.Error(), notRun)
	case errors.Is(err, ht.ErrNotImplemented):
		return codes.NotFound.With("this entry VM does not offer the call", notRun)
	case errors.As(err, &body), errors.As(err, &params):
		return codes.MalformedBody.With(err.Error(), notRun)
	}
	return err
}

// writeProblem writes the response for an error that occurs before a handler runs.
func writeProblem(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	p := problemFromError(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(p.StatusCode)
	raw, mErr := p.Response.MarshalJSON()
	if mErr != nil {
		raw, _ = json.Marshal(map[string]string{"message": err.Error()})
	}
	_, _ = w.Write(raw)
}
