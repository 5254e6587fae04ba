package play

import (
	"fmt"
	"html"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const (
	// timelineWidth, timelineLabels and rowHeight are in pixels.
	timelineWidth, timelineLabels, rowHeight = 1200, 340, 18
)

// drawTimeline writes the faults of a run, one row each, and what broke to timeline.svg in dir.
func (w *world) drawTimeline(dir string, broken []string) error {
	w.mu.Lock()
	spans, began := append([]span(nil), w.spans...), w.beganAt
	w.mu.Unlock()
	total := time.Since(began)
	x := func(t time.Time) float64 {
		return timelineLabels + (timelineWidth-timelineLabels)*t.Sub(began).Seconds()/total.Seconds()
	}
	var out strings.Builder
	fmt.Fprintf(&out, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n",
		timelineWidth, rowHeight*(len(spans)+len(broken)+2))
	for s := range int(total.Seconds()/5) + 1 {
		at := x(began.Add(time.Duration(s) * 5 * time.Second))
		fmt.Fprintf(&out, `<text x="%.1f" y="12">%d s</text><line x1="%.1f" x2="%.1f" y1="14" y2="%d" stroke="#ddd"/>`+"\n", at, s*5, at, at, rowHeight*(len(spans)+1))
	}
	for i, s := range spans {
		y := rowHeight * (i + 1)
		fmt.Fprintf(&out, `<text x="4" y="%d">%s</text><rect x="%.1f" y="%d" width="%.1f" height="%d" fill="#c60"/>`+"\n",
			y+13, html.EscapeString(string(s.kind)), x(s.begin), y+3, max(2, x(s.end)-x(s.begin)), rowHeight-6)
	}
	for i, line := range broken {
		fmt.Fprintf(&out, `<text x="4" y="%d" fill="#b00">%s</text>`+"\n", rowHeight*(len(spans)+i+1)+13, html.EscapeString(line))
	}
	out.WriteString("</svg>\n")
	return os.WriteFile(filepath.Join(dir, "timeline.svg"), []byte(out.String()), 0o600)
}
