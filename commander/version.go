package commander

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// version is set by the linker (-X) for releases.
var version = "0.1.0-dev"

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version and the Go release it was built with",
		Args:  exactArguments(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			release := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				release = info.GoVersion
			}
			fmt.Fprintf(cmd.OutOrStdout(), "burdocklane %s (%s)\n", version, release)
			return nil
		},
	}
}
