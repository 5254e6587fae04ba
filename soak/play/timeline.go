package play

import (
	"encoding/json"
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

// term is the time of one holder of the scheduler's role.
type term struct {
	vm    string
	begin time.Time
}

// recordTerm records the holder in a record of the scheduler's role if it is another than before. The caller
// holds w.mu.
func (w *world) recordTerm(record []byte) {
	var holder struct {
		VM string `json:"vm"`
	}
	if json.Unmarshal(record, &holder) != nil || holder.VM == "" {
		return // The role is given up, or the record is none of ours.
	}
	if n := len(w.terms); n == 0 || w.terms[n-1].vm != holder.VM {
		w.terms = append(w.terms, term{vm: holder.VM, begin: time.Now()})
	}
}

// rows returns a row for each VM with its time as scheduler, and one for each fault.
func (w *world) rows(end time.Time) []span {
	w.mu.Lock()
	defer w.mu.Unlock()
	var rows []span
	for i, t := range w.terms {
		until := end
		if i+1 < len(w.terms) {
			until = w.terms[i+1].begin
		}
		rows = append(rows, span{kind: "scheduler", target: t.vm, begin: t.begin, end: until})
	}
	return append(rows, w.spans...)
}

// drawTimeline writes the holders of the scheduler's role and the faults of a run, one row each, and what broke
// to timeline.svg in dir.
func (w *world) drawTimeline(dir string, broken []string) error {
	began, now := w.beganAt, time.Now()
	spans, total := w.rows(now), now.Sub(began)
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
			y+13, html.EscapeString(s.target+": "+string(s.kind)), x(s.begin), y+3, max(2, x(s.end)-x(s.begin)), rowHeight-6)
	}
	for i, line := range broken {
		fmt.Fprintf(&out, `<text x="4" y="%d" fill="#b00">%s</text>`+"\n", rowHeight*(len(spans)+i+1)+13, html.EscapeString(line))
	}
	out.WriteString("</svg>\n")
	return os.WriteFile(filepath.Join(dir, "timeline.svg"), []byte(out.String()), 0o600)
}
