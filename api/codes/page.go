package codes

import (
	"fmt"
	"strings"
)

// groups lists the groups of codes by their first digit. The exit code of the
// operator CLI is ten times the digit.
var groups = []struct {
	digit Code
	title string
}{
	{1, "Input"},
	{2, "Admission and limits; nothing was run"},
	{3, "Outcome of a request without a whole answer"},
	{4, "State of the system"},
	{5, "Settings"},
	{9, "Internal faults"},
}

// Page returns the text of docs/result-codes.md, which lists all codes for users.
func Page() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\n")
	b.WriteString("Generated from `api/codes`; `go test ./api/codes -update` writes this page again.\n\n")
	b.WriteString("An error of the API has a number, a stable name for programs, and a message. The first digit is the group.\n")
	b.WriteString("The client `rhubarbstall` ends with the exit code of the group.\n")
	for _, g := range groups {
		fmt.Fprintf(&b, "\n## %dxxx: %s\n\nExit code %d.\n\n", g.digit, g.title, 10*g.digit)
		b.WriteString("| code | name | HTTP status | meaning | what to do |\n|---|---|---|---|---|\n")
		for _, c := range All() {
			if c/1000 == g.digit {
				info := c.Info()
				fmt.Fprintf(&b, "| %d | `%s` | %d | %s | %s |\n", c, info.Name, info.Status, info.Meaning, info.Action)
			}
		}
	}
	return b.String()
}
