package scenario

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// rosterMetric appears in the metrics of an entry VM once it knows the roster of its
	// zone.
	rosterMetric       = "rhubarbstall_zonelead_roster_revision"
	rosterPollInterval = 50 * time.Millisecond
)

// cmdRoster waits until each entry VM knows the roster of its zone.
func (s *scenario) cmdRoster(_ *testscript.TestScript, words []string) error {
	if len(words) > 0 {
		return fmt.Errorf("want no arguments, got %q", words)
	}
	ctx, cancel := context.WithTimeout(s.ctx, defaultWaitTimeout)
	defer cancel()
	for _, e := range s.caller.Entries() {
		for {
			text, err := metricsOf(ctx, e.Addr)
			if err == nil && strings.Contains(text, "\n"+rosterMetric) {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("entry VM %s knows no roster: %w", e.Name, ctx.Err())
			case <-time.After(rosterPollInterval):
			}
		}
	}
	return nil
}

// metricsOf returns the metrics text of the daemon at addr.
func metricsOf(ctx context.Context, addr string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/metrics", nil)
	if err != nil {
		return "", err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}
