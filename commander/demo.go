package commander

import (
	"time"

	"burdocklane/demonstrator"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

const longestDemo = time.Hour

func newDemo() *cobra.Command {
	var length time.Duration
	cmd := &cobra.Command{
		Use:   "demo [--for 10s]",
		Short: "See it at work: stand-ins, two instances and some load in one process",
		Args:  exactly(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if length <= 0 || length > longestDemo {
				return badInput(errors.Errorf("--for: %s is not between 0s and %s", length, longestDemo))
			}
			d, err := demonstrator.New(cmd.Context(), cmd.OutOrStdout())
			if err != nil {
				return err
			}
			d.Run(cmd.Context(), length)
			return d.Close()
		},
	}
	cmd.Flags().DurationVar(&length, "for", 10*time.Second, "how long to send load")
	return cmd
}
