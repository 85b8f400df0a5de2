// Package commander is the command line.
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
	StatusOK       = 0
	StatusFailed   = 1
	StatusBadInput = 2
)

// InputError reports arguments or a document that cannot be used. Nothing has
// been changed.
type InputError struct{ err error }

// Error implements error.
func (e *InputError) Error() string { return e.err.Error() }

// Unwrap returns what is wrong with the input.
func (e *InputError) Unwrap() error { return e.err }

func badInput(err error) error {
	if err == nil {
		return nil
	}
	return &InputError{err: err}
}

// Run executes the command line and returns the exit status. The first signal
// to stop ends the command gracefully.
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
	return statusOf(err)
}

func statusOf(err error) int {
	var input *InputError
	var document *parser.DocumentError
	if errors.As(err, &input) || errors.As(err, &document) {
		return StatusBadInput
	}
	return StatusFailed
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "burdocklane",
		Short: "A load balancer for servers whose load shifts in milliseconds",
		Long: `burdocklane stands between callers and the workers of your services. You
declare classes of work and a target for each; it answers for the targets.

Start with:
  burdocklane demo --for 10s           see it at work on this machine
  burdocklane config check FILE        check a configuration
  burdocklane serve --settings FILE    run one instance

Exit status: 0 done, 1 failed, 2 bad input (nothing was changed).`,
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          noCommand,
		RunE:          func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return badInput(err) })
	root.AddCommand(newDemo(), newServe(), newConfig(), newStatus(), newExplain(), newEmulate(), newBench(), newVersion())
	return root
}

// noCommand refuses words that are no command.
func noCommand(cmd *cobra.Command, args []string) error {
	if len(args) == 0 {
		return nil
	}
	return badInput(errors.Errorf("%q is not a command of %q; see --help", args[0], cmd.CommandPath()))
}

// group is a command that only holds others.
func group(use, short string, commands ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  noCommand,
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(commands...)
	return cmd
}

// exactly demands the named arguments.
func exactly(names ...string) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) == len(names) {
			return nil
		}
		return badInput(errors.Errorf("%s takes %d argument(s): %v", cmd.CommandPath(), len(names), names))
	}
}

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	return data, badInput(err)
}
