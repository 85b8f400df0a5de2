package commander

import (
	"time"

	"burdocklane/demonstrator"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

const maxDemoDuration = time.Hour

func newDemo() *cobra.Command {
	var duration time.Duration
	cmd := &cobra.Command{
		Use:   "demo [--for 10s]",
		Short: "Run a demo: an emulated platform, workers, two instances and load in one process",
		Args:  exactArguments(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if duration <= 0 || duration > maxDemoDuration {
				return newInputError(errors.Errorf("--for: %s is not between 0s and %s", duration, maxDemoDuration))
			}
			d, err := demonstrator.New(cmd.Context(), cmd.OutOrStdout())
			if err != nil {
				return err
			}
			d.Run(cmd.Context(), duration)
			return d.Close()
		},
	}
	cmd.Flags().DurationVar(&duration, "for", 10*time.Second, "how long to send load")
	return cmd
}
