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
	// rosterMetric is present once an entry VM knows its roster.
	rosterMetric = "rhubarbstall_zonelead_roster_revision"
	rosterEvery  = 50 * time.Millisecond
)

// cmdRoster waits until each entry VM knows the roster of its zone.
func (w *world) cmdRoster(_ *testscript.TestScript, words []string) error {
	if len(words) > 0 {
		return fmt.Errorf("no words expected, got %q", words)
	}
	ctx, cancel := context.WithTimeout(w.ctx, waitLimit)
	defer cancel()
	for _, e := range w.caller.Entries() {
		for {
			text, err := metricsOf(ctx, e.Addr)
			if err == nil && strings.Contains(text, "\n"+rosterMetric) {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("entry VM %s knows no roster: %w", e.Name, ctx.Err())
			case <-time.After(rosterEvery):
			}
		}
	}
	return nil
}

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
