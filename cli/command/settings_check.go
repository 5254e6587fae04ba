package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"rhubarbstall.example/settings"
)

// checkResult is the form in which -o json prints the result of a check.
type checkResult struct {
	Valid       bool     `json:"valid"`
	Zones       []string `json:"availability_zones"`
	Departments int      `json:"departments"`
	Kinds       []string `json:"kinds"`
	Bytes       int      `json:"bytes"`
}

func newSettingsCheck(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file without a server",
		Args:  positionalArgs(cobra.ExactArgs(1)),
		RunE: func(_ *cobra.Command, args []string) error {
			doc, text, err := a.parseFile(args[0])
			if err != nil {
				return err
			}
			c := checkResult{
				Valid: true, Zones: doc.Zones, Departments: len(doc.Departments()),
				Kinds: doc.Kinds(settings.RootPath), Bytes: len(text),
			}
			if a.output == outputJSON {
				return a.printJSON(c)
			}
			_, err = fmt.Fprintf(a.env.Stdout, "valid: %d availability zones, %d departments, %d kinds at head office, %d bytes\n",
				len(c.Zones), c.Departments, len(c.Kinds), c.Bytes)
			return err
		},
	}
}

// parseFile reads and checks a settings file and returns its text without the
// revision line.
func (a *app) parseFile(name string) (*settings.Document, []byte, error) {
	text, err := a.readFile(name)
	if err != nil {
		return nil, nil, err
	}
	// Parse gets the file with the revision line, so that the line numbers in its errors
	// match those in an editor.
	doc, err := settings.Parse(text)
	if err != nil {
		return nil, nil, problemOf(err)
	}
	text, _, _ = cutRevisionLine(text)
	return doc, text, nil
}
