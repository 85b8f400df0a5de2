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
	waitPollInterval   = 200 * time.Millisecond
	defaultWaitTimeout = 13 * time.Second
)

func newConfigWait() *cobra.Command {
	var listURL string
	var timeout time.Duration
	cmd := &cobra.Command{
		Use:   "wait REVISION",
		Short: "Wait until a revision is active on all live instances",
		Long: `Polls the admin port of each instance on the platform's list until the revision, or
a newer one, is active on all of them. Prints a line for each instance.`,
		Args: exactArguments("REVISION"),
		RunE: func(cmd *cobra.Command, args []string) error {
			revision, err := strconv.ParseInt(args[0], 10, 64)
			if err != nil || revision < 1 {
				return newInputError(errors.Errorf("REVISION: %q is not a revision", args[0]))
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), timeout)
			defer cancel()
			return waitForRevision(ctx, cmd, listURL, descriptor.Revision(revision))
		},
	}
	cmd.Flags().StringVar(&listURL, "list", "http://127.0.0.1:2379/list", "URL of the platform's list")
	cmd.Flags().DurationVar(&timeout, "timeout", defaultWaitTimeout, "maximum time to wait")
	return cmd
}

func waitForRevision(ctx context.Context, cmd *cobra.Command, listURL string, revision descriptor.Revision) error {
	for {
		fleet, err := lister.Fetch(ctx, listURL)
		if err == nil && allActive(ctx, fleet, revision) {
			return printActiveRevisions(ctx, cmd, fleet, revision)
		}
		if sleeper.Sleep(ctx, waitPollInterval) {
			continue
		}
		if err != nil {
			return errors.Wrap(err, "platform's list")
		}
		return printActiveRevisions(context.WithoutCancel(ctx), cmd, fleet, revision)
	}
}

func allActive(ctx context.Context, fleet registrar.List, revision descriptor.Revision) bool {
	for _, instance := range liveInstances(fleet) {
		active, err := inspector.FetchRevision(ctx, instance.AdminAddress())
		if err != nil || active < revision {
			return false
		}
	}
	return true
}

func liveInstances(fleet registrar.List) []registrar.Instance {
	var instances []registrar.Instance
	for _, instance := range fleet.Instances() {
		if !instance.Leaving() {
			instances = append(instances, instance)
		}
	}
	return instances
}

// printActiveRevisions prints a line for each instance, and returns an error
// unless the revision is active on all of them.
func printActiveRevisions(ctx context.Context, cmd *cobra.Command, fleet registrar.List, revision descriptor.Revision) error {
	inactive := 0
	for _, instance := range liveInstances(fleet) {
		active, err := inspector.FetchRevision(ctx, instance.AdminAddress())
		switch {
		case err != nil:
			inactive++
			fmt.Fprintf(cmd.OutOrStdout(), "%s\tnot reachable: %v\n", instance.ID(), err)
		case active < revision:
			inactive++
			fmt.Fprintf(cmd.OutOrStdout(), "%s\tbehind: revision %d\n", instance.ID(), active)
		default:
			fmt.Fprintf(cmd.OutOrStdout(), "%s\tin force: revision %d\n", instance.ID(), active)
		}
	}
	if inactive > 0 {
		return errors.Errorf("revision %d is not active on %d of %d instances", revision, inactive, len(liveInstances(fleet)))
	}
	return nil
}
