package commander

import (
	"net/http"

	"burdocklane/inspector"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

// whereFlags holds the flags of the where command.
type whereFlags struct {
	address, method, host, path, tenant, timeout string
	json                                         bool
}

func newWhere() *cobra.Command {
	var w whereFlags
	cmd := &cobra.Command{
		Use:   "where",
		Short: "Tell where a request would go now and why, without sending it",
		Long: `Asks the instance at --address where it would send a request now: the route and class,
the tenant's priority, regions and rate limit, which instance decides, its workers in the
order of preference, and the decision. Nothing is sent to a worker, counted or changed.

--address is the admin port of serve, or the readiness port of burdocklane-instance.
--tenant is the name of a tenant; no API key is needed.`,
		Args: exactArguments(),
		RunE: func(cmd *cobra.Command, _ []string) error { return w.run(cmd) },
	}
	flags := cmd.Flags()
	flags.StringVar(&w.address, "address", defaultAdmin, "host:port of the instance")
	flags.StringVar(&w.method, "method", http.MethodGet, "method of the request")
	flags.StringVar(&w.host, "host", "", "host of the request")
	flags.StringVar(&w.path, "path", "/", "path of the request")
	flags.StringVar(&w.tenant, "tenant", "", "name of the tenant that sends the request")
	flags.StringVar(&w.timeout, "timeout", "", "timeout that the caller sends, such as 300ms")
	flags.BoolVar(&w.json, "json", false, "print JSON for scripts")
	return cmd
}

func (w whereFlags) run(cmd *cobra.Command) error {
	query := inspector.NewWhereQuery(w.method, w.host, w.path, w.tenant, w.timeout)
	data, err := inspector.FetchWhere(cmd.Context(), w.address, query)
	var refused *inspector.StatusError
	if errors.As(err, &refused) && refused.Status() == http.StatusBadRequest {
		return newInputError(err)
	}
	if err != nil {
		return err
	}
	if w.json {
		_, err = cmd.OutOrStdout().Write(data)
		return err
	}
	return inspector.WriteWhereTable(cmd.OutOrStdout(), data)
}
