package commander

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"burdocklane/parser"
	"burdocklane/supervisor"

	"github.com/spf13/cobra"
)

// statusAborted is the exit status after a second signal: 128 plus the number of
// SIGTERM, by shell convention.
const statusAborted = 128 + int(syscall.SIGTERM)

func newServe() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "serve --settings FILE",
		Short: "Run one instance until it receives a signal",
		Long: `Runs one instance. SIGTERM or an interrupt shuts it down gracefully: it reports not
ready, finishes the calls in flight and exits with status 0. A second signal stops it
immediately and logs how many calls were aborted.`,
		Example: "  burdocklane serve --settings examples/instance.json",
		Args:    exactArguments(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			data, err := readFile(path)
			if err != nil {
				return err
			}
			settings, err := parser.ParseSettings(path, data)
			if err != nil {
				return err
			}
			return serve(cmd, settings)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "JSON file with the settings of the instance")
	cmd.MarkFlagRequired("settings") //nolint:errcheck // The flag exists.
	return cmd
}

// gcPercent lets the heap grow to five times its live size before a garbage
// collection: an instance's live heap is only a few megabytes, and infrequent
// collections reduce the tail latency. GOGC in the environment overrides it.
const gcPercent = 400

func serve(cmd *cobra.Command, settings parser.Settings) error {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	instance, err := supervisor.New(settings, supervisor.WithOutput(cmd.ErrOrStderr()))
	if err != nil {
		return err
	}
	<-cmd.Context().Done()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	go func() {
		<-signals
		instance.LogAbortedCalls()
		os.Exit(statusAborted)
	}()
	return instance.Close()
}
