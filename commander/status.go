package commander

import (
	"bytes"
	"encoding/json"
	"os"

	"burdocklane/inspector"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

const defaultAdmin = "127.0.0.1:8082"

func newStatus() *cobra.Command {
	var admin string
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show what an instance sees and holds",
		Args:  exactly(),
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

func newExplain() *cobra.Command {
	var admin, log string
	cmd := &cobra.Command{
		Use:   "explain CALL-ID",
		Short: "Tell why a call went where it went",
		Long: `Prints the decisions that were made for a call, oldest first, as JSON lines.
CALL-ID is the X-Request-Id of the call. The latest decisions are kept by the
instance itself; older ones are read from its log with --log.`,
		Args: exactly("CALL-ID"),
		RunE: func(cmd *cobra.Command, args []string) error {
			data, err := explain(cmd, admin, log, args[0])
			if err != nil {
				return err
			}
			_, err = cmd.OutOrStdout().Write(data)
			return err
		},
	}
	cmd.Flags().StringVar(&admin, "admin", defaultAdmin, "host:port of the instance's admin port")
	cmd.Flags().StringVar(&log, "log", "", "read the instance's log from this file instead")
	return cmd
}

func explain(cmd *cobra.Command, admin, log, id string) ([]byte, error) {
	if log == "" {
		return inspector.FetchExplain(cmd.Context(), admin, id)
	}
	file, err := os.ReadFile(log)
	if err != nil {
		return nil, badInput(err)
	}
	var found bytes.Buffer
	for line := range bytes.Lines(file) {
		var decision struct {
			ID string `json:"request-id"`
		}
		if json.Unmarshal(line, &decision) == nil && decision.ID == id {
			found.Write(line)
		}
	}
	if found.Len() == 0 {
		return nil, errors.Errorf("%s has no decision for %q", log, id)
	}
	return found.Bytes(), nil
}
