package command

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"rhubarbstall.example/api/codes"
)

// Exit codes. The exit code of a result code is ten times its first digit.
const (
	exitOK = 0
	// exitFailure is any error without a result code, for example a file that
	// cannot be read.
	exitFailure = 1
	exitUsage   = 2
	// exitNoAnswer means that no server could be reached, or that a read-only call
	// got no answer.
	exitNoAnswer = 3
	// exitOutcomeUnknown means that a mutating call was sent and got no answer.
	exitOutcomeUnknown = 4
	// exitJobEnded means that a watched job ended in a state other than succeeded.
	exitJobEnded = 60
)

const exitCodesText = `Exit codes:

   0  success
   1  an error without a number, for example a file that cannot be read
   2  a mistake in the command line; nothing was sent
   3  no server could be reached, or a call that only reads got no answer
   4  a call that changes something got no answer and may have been carried out
  10  results 1xxx: the input is wrong
  20  results 2xxx: refused by admission or a limit; nothing was run
  30  results 3xxx: the outcome of the request is not a whole answer
  40  results 4xxx: the state of the system does not allow it now
  50  results 5xxx: the settings were refused
  60  a watched job ended in a state other than succeeded
  90  results 9xxx: a fault of rhubarbstall itself

docs/result-codes.md lists the results.`

func newExitCodes() *cobra.Command {
	return &cobra.Command{
		Use:   "exit-codes",
		Short: "List the exit codes of this client",
		Args:  positionalArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), exitCodesText)
			return err
		},
	}
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var u *usageError
	var p *problem
	var n *noAnswerError
	var j *jobEndedError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &u):
		return exitUsage
	case errors.As(err, &j):
		return exitJobEnded
	case errors.As(err, &p):
		return groupExitCode(codes.Code(p.Code))
	case errors.As(err, &n):
		if n.sent && n.mutating {
			return exitOutcomeUnknown
		}
		return exitNoAnswer
	default:
		return exitFailure
	}
}

func groupExitCode(code codes.Code) int {
	group := int(code) / 1000
	if group < 1 || group > 9 {
		return exitFailure
	}
	return group * 10
}
