package command

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/spf13/cobra"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/api/oas"
	"rhubarbstall.example/platform"
)

// againstInForce is the value of --against that stands for the version in force.
const againstInForce = "in-force"

func newConfig(a *app) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "config",
		Short: "Check the operator's configuration of a cell",
		Args:  positionalArgs(cobra.NoArgs),
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(newConfigCheck(a))
	return cmd
}

// configReport is the form in which -o json prints the result of a check.
type configReport struct {
	Valid    bool               `json:"valid"`
	Version  int64              `json:"version,omitempty"`
	Findings []platform.Finding `json:"findings"`
	// Against is the version to which Changes refers; both are missing without --against.
	Against int64                   `json:"against,omitempty"`
	Changes []platform.ConfigChange `json:"changes,omitempty"`
}

func newConfigCheck(a *app) *cobra.Command {
	var against string
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a configuration before it is sent, and show what it changes",
		Long: "Check a configuration (the record " + platform.ConfigKey + ") before it is sent, without a server unless --against is " + againstInForce + ".\n" +
			"API keys are never printed. Findings of severity error give exit code 10.",
		Args: positionalArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.checkConfig(cmd.Context(), args[0], against)
		},
	}
	cmd.Flags().StringVar(&against, "against", "", againstInForce+", or a file with an older version, to compare with")
	return cmd
}

func (a *app) checkConfig(ctx context.Context, file, against string) error {
	record, err := a.readFile(file)
	if err != nil {
		return err
	}
	var old platform.ConfigWithoutKeys
	var check platform.ConfigCheck
	if against != "" {
		if old, check, err = a.configBase(ctx, against); err != nil {
			return err
		}
	}
	r := configReport{Findings: platform.CheckConfig(record, check), Against: check.InForce}
	next, refused := platform.RemoveKeys(record)
	r.Version = next.Version
	if refused == nil && against != "" {
		if r.Changes, err = platform.CompareConfigs(old, next); err != nil {
			return err
		}
	}
	r.Valid = !slices.ContainsFunc(r.Findings, func(f platform.Finding) bool { return f.Severity == platform.SeverityError })
	if err := a.printConfigReport(&r); err != nil {
		return err
	}
	switch {
	case refused != nil:
		return problemOf(codes.MalformedBody.Errorf("%s cannot be decoded", file))
	case !r.Valid:
		return problemOf(codes.InvalidValue.Errorf("%s has findings of severity error", file))
	}
	return nil
}

// configBase returns the version to compare with, and what a configuration is checked against.
func (a *app) configBase(ctx context.Context, against string) (old platform.ConfigWithoutKeys, check platform.ConfigCheck, err error) {
	if against != againstInForce {
		record, err := a.readFile(against)
		if err != nil {
			return old, check, err
		}
		if old, err = platform.RemoveKeys(record); err != nil {
			err = problemOf(codes.MalformedBody.Errorf("%s: %v", against, err))
		}
		return old, platform.ConfigCheck{InForce: old.Version}, err
	}
	inForce, err := call(ctx, a, readOnly, func(ctx context.Context, c *oas.Client) (*oas.Configuration, error) { return c.GetConfiguration(ctx) })
	if err != nil {
		return old, check, err
	}
	runners, err := call(ctx, a, readOnly, func(ctx context.Context, c *oas.Client) ([]oas.Worker, error) { return c.ListWorkers(ctx) })
	if err != nil {
		a.printNote("note: bounds are not compared with the capacity of the runners: %v", err)
	}
	check.InForce = inForce.Version
	for _, r := range runners {
		check.Capacity.MilliCPU += r.Capacity.MilliCPU
		check.Capacity.MemoryMB += r.Capacity.MemoryMB
		check.Capacity.Accelerators += r.Capacity.Accelerators
	}
	return platform.ConfigWithoutKeys{Version: inForce.Version, Document: []byte(inForce.Document)}, check, nil
}

func (a *app) printConfigReport(r *configReport) error {
	t := &table{header: []string{"SEVERITY", "FINDING", "PATH", "DESCRIPTION"}, empty: fmt.Sprintf("version %d: no findings", r.Version)}
	for _, f := range r.Findings {
		t.add(f.Severity, f.Name, f.Path, f.Text)
	}
	if err := a.print(r, t); err != nil || a.output == outputJSON || r.Against == 0 || r.Version == 0 {
		return err
	}
	_, err := fmt.Fprintf(a.env.Stdout, "\nchanges from version %d to %d:\n", r.Against, r.Version)
	changes := &table{empty: "none"}
	for _, c := range r.Changes {
		changes.add(c.Path, c.Text)
	}
	return errors.Join(err, a.print(nil, changes))
}
