package front

import (
	"time"

	"rhubarbstall.example/api/codes"
)

// keyFailure is why the API key of a request is refused; empty if it is not. The values are attributes of a metric.
type keyFailure string

const (
	keyMissing   keyFailure = "missing"
	keyMalformed keyFailure = "malformed"
	keyUnknown   keyFailure = "unknown"
	// keyNotChecked means that the configuration may not be the newest.
	keyNotChecked keyFailure = "outdated"
)

// err returns the error for the client. It does not contain the key or the header.
func (f keyFailure) err(version int64) error {
	switch f {
	case keyMissing:
		return codes.Unauthorized.Errorf("the request has no API key (configuration version %d)", version)
	case keyMalformed:
		return codes.Unauthorized.Errorf("the Authorization header does not have the form \"Bearer KEY\" (configuration version %d)", version)
	case keyNotChecked:
		return codes.ConfigurationOutdated.With("the configuration of this entry VM may not be the newest", codes.RetryAfter(time.Second), codes.WithOutcome(codes.OutcomeNotRun))
	}
	return codes.Unauthorized.Errorf("the API key is not known (configuration version %d)", version)
}
