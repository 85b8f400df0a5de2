package commander

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"burdocklane/descriptor"
	"burdocklane/inspector"
	"burdocklane/lister"
	"burdocklane/registrar"
	"burdocklane/sleeper"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

const (
	waitPause   = 200 * time.Millisecond
	defaultWait = 13 * time.Second
)

func newConfigWait() *cobra.Command {
	var list string
	var timeout time.Duration
	cmd := &cobra.Command{
		Use:   "wait REVISION",
		Short: "Wait until a revision is in force on each live instance",
		Long: `Asks the admin port of each instance on the platform's list until all have the
revision, or a newer one, in force. Prints a line for each instance.`,
		Args: exactly("REVISION"),
		RunE: func(cmd *cobra.Command, args []string) error {
			revision, err := strconv.ParseInt(args[0], 10, 64)
			if err != nil || revision < 1 {
				return badInput(errors.Errorf("REVISION: %q is not a revision", args[0]))
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), timeout)
			defer cancel()
			return waitForRevision(ctx, cmd, list, descriptor.Revision(revision))
		},
	}
	cmd.Flags().StringVar(&list, "list", "http://127.0.0.1:2379/list", "URL of the platform's list")
	cmd.Flags().DurationVar(&timeout, "timeout", defaultWait, "how long to wait")
	return cmd
}

func waitForRevision(ctx context.Context, cmd *cobra.Command, list string, revision descriptor.Revision) error {
	for {
		fleet, err := lister.Fetch(ctx, list)
		if err == nil && allInForce(ctx, fleet, revision) {
			return printForce(ctx, cmd, fleet, revision)
		}
		if sleeper.Sleep(ctx, waitPause) {
			continue
		}
		if err != nil {
			return errors.Wrap(err, "platform's list")
		}
		return printForce(context.WithoutCancel(ctx), cmd, fleet, revision)
	}
}

func allInForce(ctx context.Context, fleet registrar.List, revision descriptor.Revision) bool {
	for _, instance := range live(fleet) {
		have, err := inspector.FetchRevision(ctx, instance.Admin())
		if err != nil || have < revision {
			return false
		}
	}
	return true
}

func live(fleet registrar.List) []registrar.Instance {
	var instances []registrar.Instance
	for _, instance := range fleet.Instances() {
		if !instance.Leaving() {
			instances = append(instances, instance)
		}
	}
	return instances
}

// printForce prints a line for each instance, and fails unless all have the
// revision in force.
func printForce(ctx context.Context, cmd *cobra.Command, fleet registrar.List, revision descriptor.Revision) error {
	missing := 0
	for _, instance := range live(fleet) {
		have, err := inspector.FetchRevision(ctx, instance.Admin())
		switch {
		case err != nil:
			missing++
			fmt.Fprintf(cmd.OutOrStdout(), "%s\tnot reachable: %v\n", instance.ID(), err)
		case have < revision:
			missing++
			fmt.Fprintf(cmd.OutOrStdout(), "%s\tbehind: revision %d\n", instance.ID(), have)
		default:
			fmt.Fprintf(cmd.OutOrStdout(), "%s\tin force: revision %d\n", instance.ID(), have)
		}
	}
	if missing > 0 {
		return errors.Errorf("revision %d is not in force on %d of %d instances", revision, missing, len(live(fleet)))
	}
	return nil
}
