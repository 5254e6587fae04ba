package command

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// Values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// table is the human-readable form of a result.
type table struct {
	header []string
	rows   [][]string
	// empty is the text printed if the table has no rows.
	empty string
}

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = fmt.Sprint(c)
	}
	t.rows = append(t.rows, row)
}

// print writes value as JSON or t as a table, depending on --output.
func (a *app) print(value any, t *table) error {
	if a.output == outputJSON {
		return a.printJSON(value)
	}
	if len(t.rows) == 0 && t.empty != "" {
		_, err := fmt.Fprintln(a.env.Stdout, t.empty)
		return err
	}
	w := tabwriter.NewWriter(a.env.Stdout, 0, 0, 2, ' ', 0)
	if len(t.header) > 0 {
		if _, err := fmt.Fprintln(w, strings.Join(t.header, "\t")); err != nil {
			return err
		}
	}
	for _, row := range t.rows {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}

func (a *app) printJSON(value any) error {
	e := json.NewEncoder(a.env.Stdout)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// printNote writes a human-readable line to the error output; it writes nothing with
// -o json.
func (a *app) printNote(format string, args ...any) {
	if a.output != outputJSON {
		_, _ = fmt.Fprintf(a.env.Stderr, format+"\n", args...)
	}
}
