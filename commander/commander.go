// Package commander implements the command-line interface.
package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"burdocklane/parser"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

// Exit statuses of the program.
const (
	StatusOK           = 0
	StatusFailed       = 1
	StatusInvalidInput = 2
)

// InputError reports invalid arguments or an invalid input file. Nothing has
// been changed.
type InputError struct{ err error }

// Error implements error.
func (e *InputError) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e *InputError) Unwrap() error { return e.err }

func newInputError(err error) error {
	if err == nil {
		return nil
	}
	return &InputError{err: err}
}

// Run executes the command line and returns the exit status. The first SIGTERM
// or interrupt cancels the command's context, for a graceful shutdown.
func Run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return StatusOK
	}
	fmt.Fprintln(stderr, "burdocklane:", err)
	return exitStatus(err)
}

func exitStatus(err error) int {
	var input *InputError
	var document *parser.DocumentError
	if errors.As(err, &input) || errors.As(err, &document) {
		return StatusInvalidInput
	}
	return StatusFailed
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "burdocklane",
		Short: "A load balancer for servers whose load shifts in milliseconds",
		Long: `burdocklane balances the load of callers over the workers of your services. You
declare classes of work with a latency target each, and it schedules calls to meet
the targets.

Start with:
  burdocklane demo --for 10s           run a demo on this machine
  burdocklane config check FILE        check a configuration
  burdocklane serve --settings FILE    run one instance

Exit status: 0 success, 1 failure, 2 invalid input (nothing was changed).`,
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          rejectArguments,
		RunE:          func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return newInputError(err) })
	root.AddCommand(newDemo(), newServe(), newConfig(), newStatus(), newExplain(), newWhere(), newEmulate(), newBench(), newVersion())
	return root
}

// rejectArguments rejects arguments that do not name a subcommand.
func rejectArguments(cmd *cobra.Command, args []string) error {
	if len(args) == 0 {
		return nil
	}
	return newInputError(errors.Errorf("%q is not a command of %q; see --help", args[0], cmd.CommandPath()))
}

// newCommandGroup returns a command that only groups subcommands.
func newCommandGroup(use, short string, commands ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  rejectArguments,
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(commands...)
	return cmd
}

// exactArguments requires one positional argument for each name.
func exactArguments(names ...string) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) == len(names) {
			return nil
		}
		return newInputError(errors.Errorf("%s takes %d argument(s): %v", cmd.CommandPath(), len(names), names))
	}
}

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	return data, newInputError(err)
}
