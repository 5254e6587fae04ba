package cellrunner

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Advice describes how the advisor answers calls about one step.
type Advice struct {
	// A call takes BaseTime plus TimePerRunner for each runner in it.
	BaseTime, TimePerRunner time.Duration
	// Validity is the lifetime of a ticket.
	Validity time.Duration
	// Approves reports whether the step may run on a runner; nil if the step needs no ticket.
	Approves func(runner string) bool
}

// maxQueuedCalls is the maximum number of unanswered calls of one client.
const maxQueuedCalls = 32

// Advisor is an http.Handler that simulates the service that decides which runners may
// run a step. It processes one call at a time for each client address.
type Advisor struct {
	mu     sync.Mutex
	advice func(step string) Advice
	// busyUntil holds, for each client, when its queued calls will have been processed.
	busyUntil map[string]time.Time
	waiting   map[string]int
	// ticketExpiry holds the expiry time of each ticket that was issued.
	ticketExpiry map[string]time.Time
}

// SetAdvisor makes the runners require a ticket for each start and returns the advisor
// that issues the tickets. advice returns the advice for a step, which is named
// "ID.OCCURRENCE.STEP".
func (f *Fleet) SetAdvisor(advice func(step string) Advice) *Advisor {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advisor = &Advisor{
		advice: advice, busyUntil: make(map[string]time.Time), waiting: make(map[string]int), ticketExpiry: make(map[string]time.Time),
	}
	return f.advisor
}

func (a *Advisor) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var in struct {
		Step    string   `json:"step"`
		Runners []string `json:"workers"`
	}
	if json.NewDecoder(req.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	advice := a.advice(in.Step)
	until, ok := a.reserve(req.RemoteAddr, advice.BaseTime+time.Duration(len(in.Runners))*advice.TimePerRunner)
	if !ok {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	time.Sleep(time.Until(until))
	approved := [][]string{}
	a.mu.Lock()
	a.waiting[req.RemoteAddr]--
	for _, id := range in.Runners {
		if advice.Approves == nil || advice.Approves(id) {
			ticket := strconv.Itoa(len(a.ticketExpiry)) + "@" + in.Step + "@" + id
			a.ticketExpiry[ticket] = time.Now().Add(advice.Validity)
			approved = append(approved, []string{id, ticket})
		}
	}
	a.mu.Unlock()
	data, err := json.Marshal(map[string]any{"approved_workers": approved})
	if err != nil {
		panic(err) // The body is a fixed type.
	}
	_, _ = w.Write(data)
}

// reserve queues a call of a client and returns when to answer it. It returns false if
// the client already has maxQueuedCalls unanswered calls.
func (a *Advisor) reserve(client string, duration time.Duration) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiting[client] >= maxQueuedCalls {
		return time.Time{}, false
	}
	a.waiting[client]++
	begin := time.Now()
	if busy := a.busyUntil[client]; busy.After(begin) {
		begin = busy
	}
	a.busyUntil[client] = begin.Add(duration)
	return a.busyUntil[client], true
}

// hasValidTicket reports whether the ticket of a start order was issued for this step and
// runner and has not expired. Without an advisor no ticket is needed.
func (f *Fleet) hasValidTicket(now time.Time, r *Runner, o order) bool {
	if f.advisor == nil {
		return true
	}
	step := o.Task[:strings.LastIndexByte(o.Task, '.')]
	if f.advisor.advice(step).Approves == nil {
		return true
	}
	f.advisor.mu.Lock()
	defer f.advisor.mu.Unlock()
	until, ok := f.advisor.ticketExpiry[o.Ticket]
	return ok && !now.After(until) && strings.HasSuffix(o.Ticket, "@"+step+"@"+r.ID)
}
