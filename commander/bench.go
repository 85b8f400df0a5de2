package commander

import (
	"fmt"
	"os"
	"time"

	"burdocklane/bencher"
	"burdocklane/launcher"
	"burdocklane/parser"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

func newBench() *cobra.Command {
	return group("bench", "Measure the product with processes on this machine",
		newBenchOverhead(), newBenchRouting(), newBenchControl(), newBenchSoak(), newBenchRelay())
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
	var load float64
	var seed uint64
	cmd := &cobra.Command{
		Use:   "overhead",
		Short: "Compare a call through an instance with one direct to the worker",
		Long: `Sends open-loop load at a share of the instance's saturation rate direct to a worker,
through a bare relay, and through an instance, in turns. Prints a JSON line for
each path on standard output and a table on standard error.`,
		Args: exactly(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			l, done, err := newLauncher()
			if err != nil {
				return err
			}
			defer done()
			return bencher.NewOverhead(l, example, rounds, span, load, seed, cmd.OutOrStdout(), cmd.ErrOrStderr()).Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&example, "configuration", "examples/authority.json", "configuration to apply")
	cmd.Flags().IntVar(&rounds, "rounds", 5, "rounds of load over each path")
	cmd.Flags().DurationVar(&span, "span", 2*time.Second, "length of each round")
	cmd.Flags().Float64Var(&load, "load", 0.5, "share of the instance's saturation rate")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the arrival times")
	return cmd
}

func newBenchRouting() *cobra.Command {
	var user, report string
	var policies, scenarios []string
	var rounds int
	var window time.Duration
	var factor float64
	var seed uint64
	cmd := &cobra.Command{
		Use:   "routing",
		Short: "Compare the routing policies while the workers' load shifts",
		Long: `Starts the workers of a user's largest service and, for each policy, fifteen
instances, with the delays between zones and regions. In each scenario the
policies take turns. Prints a JSON line for each policy on standard output and
a table on standard error. Times are stretched by --scale, so that the machine
carries the sizes, and scaled back in the results.`,
		Args: exactly(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			l, done, err := newLauncher()
			if err != nil {
				return err
			}
			defer done()
			return bencher.NewRouting(l, user, seed, cmd.OutOrStdout(), cmd.ErrOrStderr(),
				bencher.WithPolicies(policies...), bencher.WithScenarios(scenarios...),
				bencher.WithRounds(rounds), bencher.WithWindow(window),
				bencher.WithScale(factor), bencher.WithReport(report)).Run(cmd.Context())
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&user, "users", "authority", "whose sizes: authority or association")
	flags.StringSliceVar(&policies, "policy", parser.Policies(), "policies to compare")
	flags.StringSliceVar(&scenarios, "scenario", nil, "scenarios to run; all if not given")
	flags.IntVar(&rounds, "rounds", 2, "turns of each policy in each scenario")
	flags.DurationVar(&window, "window", 5*time.Second, "length of a turn")
	flags.Float64Var(&factor, "scale", 4, "factor by which all times are stretched")
	flags.Uint64Var(&seed, "seed", 1, "seed of the arrival times")
	flags.StringVar(&report, "report", "", "file to write a report page to")
	return cmd
}

func newBenchControl() *cobra.Command {
	var instances, workers []int
	cmd := &cobra.Command{
		Use:   "control",
		Short: "Measure what control costs an instance as the fleet grows",
		Long: `For each size starts that many instances as processes, on a platform that lists
that many workers (which do not run), and measures processor time, memory,
bytes and store calls, idle and for each change, and how long a change takes to
be in force everywhere. --instances and --workers are lists of equal length.`,
		Args: exactly(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(instances) != len(workers) {
				return badInput(errors.New("--instances and --workers must be lists of equal length"))
			}
			var sizes []bencher.ControlSize
			for i := range instances {
				sizes = append(sizes, bencher.NewControlSize(instances[i], workers[i]))
			}
			return bencher.NewControl(newLauncher, sizes, cmd.OutOrStdout(), cmd.ErrOrStderr()).Run(cmd.Context())
		},
	}
	cmd.Flags().IntSliceVar(&instances, "instances", []int{3, 3, 3, 3, 15, 45, 90}, "numbers of instances")
	cmd.Flags().IntSliceVar(&workers, "workers", []int{10, 100, 1000, 1900, 100, 100, 100}, "numbers of listed workers")
	return cmd
}

func newBenchSoak() *cobra.Command {
	var example string
	var length time.Duration
	var seed uint64
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run load and random faults, and compare what callers saw with what ran",
		Long: `Starts workers and instances as processes, sends load, and plays faults in an
order drawn from the seed: workers and instances are killed, frozen, stopped as
planned; the store is down, slow or loses answers; operators race. In the end
the workers' journals are compared with what the callers were told. Exit status
1 means that a promise was broken; the JSON line on standard output says which.`,
		Args: exactly(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			l, done, err := newLauncher()
			if err != nil {
				return err
			}
			defer done()
			return bencher.NewSoak(l, example, length, seed, cmd.OutOrStdout(), cmd.ErrOrStderr()).Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&example, "configuration", "examples/authority.json", "configuration to apply")
	cmd.Flags().DurationVar(&length, "for", time.Minute, "how long to send load")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the load and the faults")
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
