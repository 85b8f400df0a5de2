package commander

import (
	"burdocklane/inspector"

	"github.com/spf13/cobra"
)

const defaultAdmin = "127.0.0.1:8082"

func newStatus() *cobra.Command {
	var admin string
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the status of an instance",
		Args:  exactArguments(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			data, err := inspector.Fetch(cmd.Context(), admin, "/status")
			if err != nil {
				return err
			}
			_, err = cmd.OutOrStdout().Write(data)
			return err
		},
	}
	cmd.Flags().StringVar(&admin, "admin", defaultAdmin, "host:port of the instance's admin port")
	return cmd
}
