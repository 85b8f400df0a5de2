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
	return newCommandGroup("bench", "Run benchmarks with processes on this machine",
		newBenchOverhead(), newBenchRouting(), newBenchControl(), newBenchSoak(), newBenchRelay())
}

// newBenchLauncher returns a launcher that runs processes of this program in a
// temporary directory, and a function that stops them and removes the directory.
func newBenchLauncher() (*launcher.Launcher, func(), error) {
	binary, err := os.Executable()
	if err != nil {
		return nil, nil, errors.Wrap(err, "locate the executable")
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
	var configPath string
	var rounds int
	var span time.Duration
	var loadFraction float64
	var seed uint64
	cmd := &cobra.Command{
		Use:   "overhead",
		Short: "Compare calls through an instance with calls sent directly to the worker",
		Long: `Sends open-loop load at a fraction of the instance's saturation rate directly to a
worker, through a plain proxy, and through an instance, in alternating rounds. Prints
a JSON line for each path on standard output and a table on standard error.`,
		Args: exactArguments(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			l, cleanup, err := newBenchLauncher()
			if err != nil {
				return err
			}
			defer cleanup()
			return bencher.NewOverhead(l, configPath, rounds, span, loadFraction, seed, cmd.OutOrStdout(), cmd.ErrOrStderr()).Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&configPath, "configuration", "examples/authority.json", "configuration to apply")
	cmd.Flags().IntVar(&rounds, "rounds", 5, "number of rounds for each path")
	cmd.Flags().DurationVar(&span, "span", 2*time.Second, "length of each round")
	cmd.Flags().Float64Var(&loadFraction, "load", 0.5, "fraction of the instance's saturation rate")
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
		Short: "Compare the routing policies while the load of the workers shifts",
		Long: `Starts the workers of a user's largest service and, for each policy, fifteen
instances, with emulated delays between zones and regions. In each scenario the
policies run in alternating rounds. Prints a JSON line for each policy on standard
output and a table on standard error. All times are multiplied by --scale, so that
this machine can run the deployment at full size; the results are scaled back.`,
		Args: exactArguments(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			l, cleanup, err := newBenchLauncher()
			if err != nil {
				return err
			}
			defer cleanup()
			return bencher.NewRouting(l, user, seed, cmd.OutOrStdout(), cmd.ErrOrStderr(),
				bencher.WithPolicies(policies...), bencher.WithScenarios(scenarios...),
				bencher.WithRounds(rounds), bencher.WithWindow(window),
				bencher.WithTimeScale(factor), bencher.WithReportFile(report)).Run(cmd.Context())
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&user, "users", "authority", "user whose deployment size is emulated: authority or association")
	flags.StringSliceVar(&policies, "policy", parser.Policies(), "policies to compare")
	flags.StringSliceVar(&scenarios, "scenario", nil, "scenarios to run (default all)")
	flags.IntVar(&rounds, "rounds", 2, "number of rounds for each policy in each scenario")
	flags.DurationVar(&window, "window", 5*time.Second, "length of each round")
	flags.Float64Var(&factor, "scale", 4, "factor by which all times are multiplied")
	flags.Uint64Var(&seed, "seed", 1, "seed of the arrival times")
	flags.StringVar(&report, "report", "", "file to write the report to")
	return cmd
}

func newBenchControl() *cobra.Command {
	var instances, workers []int
	cmd := &cobra.Command{
		Use:   "control",
		Short: "Measure the control plane's cost per instance as the fleet grows",
		Long: `For each fleet size, starts the given number of instances as processes, with a
platform that lists the given number of workers (which do not run). Measures CPU
time, memory, bytes and store calls, when idle and for each configuration change,
and how long a change takes to become active on all instances. --instances and
--workers are lists of equal length.`,
		Args: exactArguments(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(instances) != len(workers) {
				return newInputError(errors.New("--instances and --workers must be lists of equal length"))
			}
			var sizes []bencher.FleetSize
			for i := range instances {
				sizes = append(sizes, bencher.NewFleetSize(instances[i], workers[i]))
			}
			return bencher.NewControlPlane(newBenchLauncher, sizes, cmd.OutOrStdout(), cmd.ErrOrStderr()).Run(cmd.Context())
		},
	}
	cmd.Flags().IntSliceVar(&instances, "instances", []int{3, 3, 3, 3, 15, 45, 90}, "numbers of instances")
	cmd.Flags().IntSliceVar(&workers, "workers", []int{10, 100, 1000, 1900, 100, 100, 100}, "numbers of listed workers")
	return cmd
}

func newBenchSoak() *cobra.Command {
	var configPath string
	var duration time.Duration
	var seed uint64
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run load with random faults, and check callers' results against workers' journals",
		Long: `Starts workers and instances as processes, sends load, and injects faults in a
random order that the seed determines: workers and instances are killed, frozen or
shut down gracefully; the store is down, slow or drops responses; operators apply
changes concurrently. At the end, the workers' journals are compared with the
responses that callers received. Exit status 1 means that a guarantee was violated;
the JSON line on standard output says which.`,
		Args: exactArguments(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			l, cleanup, err := newBenchLauncher()
			if err != nil {
				return err
			}
			defer cleanup()
			return bencher.NewSoak(l, configPath, duration, seed, cmd.OutOrStdout(), cmd.ErrOrStderr()).Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&configPath, "configuration", "examples/authority.json", "configuration to apply")
	cmd.Flags().DurationVar(&duration, "for", time.Minute, "how long to send load")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the load and the injected faults")
	return cmd
}

func newBenchRelay() *cobra.Command {
	var address, target string
	cmd := &cobra.Command{
		Use:    "relay --to HOST:PORT",
		Short:  "Run the plain proxy that serves as the baseline of overhead",
		Hidden: true,
		Args:   exactArguments(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return bencher.NewPassthrough(target).Serve(cmd.Context(), address, func(bound string) {
				fmt.Fprintf(cmd.OutOrStdout(), "relay at %s\n", bound)
			})
		},
	}
	cmd.Flags().StringVar(&address, "listen", "127.0.0.1:0", "host:port to listen on")
	cmd.Flags().StringVar(&target, "to", "", "host:port to forward requests to")
	return cmd
}
