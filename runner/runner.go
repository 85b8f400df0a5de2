// Package runner is the command line of an instance on the users' platform.
package runner

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"burdocklane/conductor"
	adapter "burdocklane/platform"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

// Exit statuses.
const (
	statusFailed   = 1
	statusBadInput = 2
)

// Run runs the command line and returns the exit status.
func Run(args []string, stdout, stderr io.Writer) int {
	cmd := newCommand(listen())
	cmd.SetArgs(args)
	cmd.SetOut(stdout)
	cmd.SetErr(stderr)
	err := cmd.ExecuteContext(context.Background())
	if err == nil {
		return 0
	}
	fmt.Fprintln(stderr, err)
	var bad *adapter.SettingsError
	if errors.As(err, &bad) {
		return statusBadInput
	}
	return statusFailed
}

// signals are those that the platform sends.
type signals struct {
	stop   chan os.Signal
	reload chan os.Signal
}

// listen takes the signals from the start: one to reload must not end a process
// that is not open yet.
func listen() signals {
	s := signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, os.Interrupt, syscall.SIGTERM)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

func newCommand(s signals) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:           "burdocklane-instance",
		Short:         "Run one instance on the users' platform until it is told to stop",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(cmd *cobra.Command, _ []string) error { return run(cmd, path, s) },
	}
	cmd.Flags().StringVar(&path, "settings", os.Getenv(adapter.SettingsVariable), "the platform's settings file")
	return cmd
}

func run(cmd *cobra.Command, path string, s signals) error {
	settings, err := read(path)
	if err != nil {
		return err
	}
	instance, err := conductor.New(settings, cmd.OutOrStdout())
	if err != nil {
		return err
	}
	for {
		select {
		case <-s.reload:
			settings, err := read(path)
			instance.Reload(settings, err)
		case <-s.stop:
			return instance.Close()
		}
	}
}

func read(path string) (adapter.Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return adapter.Settings{}, errors.Wrap(err, "settings")
	}
	return adapter.ParseSettings(data)
}
