package check

import "rhubarbstall.example/standin/history"

// request collects the events of one request, identified by its body. Each
// request has a unique body; only a resubmission repeats the body.
type request struct {
	// sent counts the submissions, notRun those that were reported as not run.
	sent     int
	notRun   int
	noRepeat bool
	lastEnd  history.Event
	runs     []history.Event
}

// checkRequests reports wrong answers, repeated runs of requests marked no_repeat,
// and runs of requests that were reported as not run.
func (r *Report) checkRequests(events []history.Event) {
	byBody := make(map[string]*request)
	at := func(body string) *request {
		q := byBody[body]
		if q == nil {
			q = &request{}
			byBody[body] = q
		}
		return q
	}
	for _, e := range events {
		switch e.Type {
		case history.RequestSent:
			q := at(e.Body)
			q.sent++
			q.noRepeat = q.noRepeat || e.NoRepeat
		case history.RequestEnded:
			q := at(e.Body)
			q.lastEnd = e
			if e.Outcome == history.OutcomeNotRun || e.Outcome == history.OutcomeUnsent {
				q.notRun++
			}
		case history.RunStarted:
			q := at(e.Body)
			q.runs = append(q.runs, e)
		}
	}
	for _, e := range events {
		if e.Type != history.RequestEnded || e.Outcome != history.OutcomeAnswered {
			continue
		}
		switch {
		case e.Answer != e.ExpectedAnswer:
			r.add(WrongAnswer, e.At, "request %s got answer %s instead of %s", short(e.Body), short(e.Answer), short(e.ExpectedAnswer))
		case len(at(e.Body).runs) == 0:
			r.add(WrongAnswer, e.At, "request %s was answered, but no runner recorded a run of it", short(e.Body))
		}
	}
	for body, q := range byBody {
		if q.noRepeat && len(q.runs) > 1 {
			r.add(RepeatedRequest, q.runs[1].At, "request %s ran %d times, first on %s, then on %s",
				short(body), len(q.runs), q.runs[0].Node, q.runs[1].Node)
		}
		// If some submissions were not reported as not run, the run may belong to
		// one of them.
		if q.sent > 0 && q.notRun == q.sent && len(q.runs) > 0 {
			r.add(NotRunRequestRan, q.runs[0].At, "request %s ran on %s, but was reported as not run with code %d",
				short(body), q.runs[0].Node, q.lastEnd.Code)
		}
	}
}

// short returns the first 12 characters of a digest.
func short(digest string) string { return digest[:min(12, len(digest))] }
