package commander

import (
	"fmt"
	"os"
	"time"

	"burdocklane/bencher"
	"burdocklane/launcher"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

func newBench() *cobra.Command {
	return group("bench", "Measure the product with processes on this machine",
		newBenchOverhead(), newBenchRelay())
}

// newLauncher starts processes of this program in a directory of their own. It
// returns a function that ends them.
func newLauncher() (*launcher.Launcher, func(), error) {
	binary, err := os.Executable()
	if err != nil {
		return nil, nil, errors.Wrap(err, "find this program")
	}
	dir, err := os.MkdirTemp("", "burdocklane-bench-")
	if err != nil {
		return nil, nil, errors.Wrap(err, "make a directory")
	}
	l := launcher.New(binary, dir)
	return l, func() {
		l.Close()
		os.RemoveAll(dir)
	}, nil
}

func newBenchOverhead() *cobra.Command {
	var example string
	var rounds int
	var span time.Duration
	var seed uint64
	cmd := &cobra.Command{
		Use:   "overhead",
		Short: "Compare a call through an instance with one direct to the worker",
		Long: `Sends open-loop load at half the instance's saturation rate direct to a worker,
through a bare relay, and through an instance, in turns. Prints a JSON line for
each path on standard output and a table on standard error.`,
		Args: exactly(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			l, done, err := newLauncher()
			if err != nil {
				return err
			}
			defer done()
			return bencher.NewOverhead(l, example, rounds, span, seed, cmd.OutOrStdout(), cmd.ErrOrStderr()).Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&example, "configuration", "examples/authority.json", "configuration to apply")
	cmd.Flags().IntVar(&rounds, "rounds", 5, "rounds of load over each path")
	cmd.Flags().DurationVar(&span, "span", 2*time.Second, "length of each round")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the arrival times")
	return cmd
}

func newBenchRelay() *cobra.Command {
	var address, to string
	cmd := &cobra.Command{
		Use:    "relay --to HOST:PORT",
		Short:  "Run the bare relay that overhead compares with",
		Hidden: true,
		Args:   exactly(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return bencher.NewPassthrough(to).Serve(cmd.Context(), address, func(bound string) {
				fmt.Fprintf(cmd.OutOrStdout(), "relay at %s\n", bound)
			})
		},
	}
	cmd.Flags().StringVar(&address, "listen", "127.0.0.1:0", "host:port to listen on")
	cmd.Flags().StringVar(&to, "to", "", "host:port to relay to")
	return cmd
}
