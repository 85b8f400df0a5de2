// Package runner is the command line of an instance on the users' platform.
package runner

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"burdocklane/bootstrapper"
	adapter "burdocklane/platform"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

// Exit statuses.
const (
	statusFailed          = 1
	statusInvalidSettings = 2
)

// Run runs the command line and returns the exit status.
func Run(args []string, stdout, stderr io.Writer) int {
	cmd := newCommand(notifySignals())
	cmd.SetArgs(args)
	cmd.SetOut(stdout)
	cmd.SetErr(stderr)
	err := cmd.ExecuteContext(context.Background())
	if err == nil {
		return 0
	}
	fmt.Fprintln(stderr, err)
	var settingsErr *adapter.SettingsError
	if errors.As(err, &settingsErr) {
		return statusInvalidSettings
	}
	return statusFailed
}

// signals are the channels of the process signals that the platform sends.
type signals struct {
	stop   chan os.Signal
	reload chan os.Signal
}

// notifySignals subscribes to the signals. It is called before anything else,
// since the default action of SIGHUP would end a process that is still starting.
func notifySignals() signals {
	s := signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, os.Interrupt, syscall.SIGTERM)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

func newCommand(s signals) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:           "burdocklane-instance",
		Short:         "Run one instance on the users' platform until it receives SIGINT or SIGTERM",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(cmd *cobra.Command, _ []string) error { return run(cmd, path, s) },
	}
	cmd.Flags().StringVar(&path, "settings", os.Getenv(adapter.SettingsVariable), "path of the platform's settings file")
	return cmd
}

func run(cmd *cobra.Command, path string, s signals) error {
	settings, err := readSettings(path)
	if err != nil {
		return err
	}
	process, err := bootstrapper.New(settings, cmd.OutOrStdout())
	if err != nil {
		return err
	}
	for {
		select {
		case <-s.reload:
			settings, err := readSettings(path)
			process.Reload(settings, err)
		case <-s.stop:
			return process.Close()
		}
	}
}

func readSettings(path string) (adapter.Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return adapter.Settings{}, errors.Wrap(err, "settings")
	}
	return adapter.ParseSettings(data)
}
