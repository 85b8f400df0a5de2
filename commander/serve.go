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

// statusCut is the exit status after a second signal, by shell custom 128 plus
// the signal's number.
const statusCut = 128 + int(syscall.SIGTERM)

func newServe() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "serve --settings FILE",
		Short: "Run one instance until it is told to stop",
		Long: `Runs one instance. SIGTERM or an interrupt shuts it down gracefully: it becomes
not ready, finishes the calls in flight and exits with 0. A second signal ends
it at once and says how many calls were cut.`,
		Example: "  burdocklane serve --settings examples/instance.json",
		Args:    exactly(),
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
	cmd.Flags().StringVar(&path, "settings", "", "the JSON file with the instance's settings")
	cmd.MarkFlagRequired("settings") //nolint:errcheck // The flag exists.
	return cmd
}

// gcPercent lets the heap grow to five times what is live before it is
// collected: an instance's live heap is a few megabytes, and rare collections
// keep the tail of the latency short. GOGC in the environment goes before it.
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
		instance.Cut()
		os.Exit(statusCut)
	}()
	return instance.Close()
}
