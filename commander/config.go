package commander

import (
	"fmt"
	"io"
	"os/user"
	"time"

	"burdocklane/applier"
	"burdocklane/descriptor"
	"burdocklane/parser"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

func newConfig() *cobra.Command {
	return newCommandGroup("config", "Declare services, classes of work and targets",
		newConfigCheck(), newConfigApply(), newConfigGet(), newConfigDiff(),
		newConfigWait(), newConfigHistory(), newConfigSettle())
}

func readDeployment(path string) (descriptor.Deployment, error) {
	data, err := readFile(path)
	if err != nil {
		return descriptor.Deployment{}, err
	}
	return parser.ParseDeployment(path, data)
}

func newConfigCheck() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Validate a configuration and list all errors in it",
		Example: "  burdocklane config check examples/authority.json",
		Args:    exactArguments("FILE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			d, err := readDeployment(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: good: %d service(s)\n", args[0], len(d.Services()))
			return nil
		},
	}
}

func newConfigApply() *cobra.Command {
	var store storeFlags
	var expect int64
	var author string
	cmd := &cobra.Command{
		Use:   "apply FILE [--expect REVISION]",
		Short: "Write a configuration to the store, for all instances to activate",
		Long: `Writes the configuration to the store by compare-and-swap. The outcome is one of:

  accepted   the change is in the store and instances will activate it (exit 0)
  refused    another change was written first; nothing was written (exit 1)
  unknown    the store did not respond; check later with "config settle" (exit 1)`,
		Args: exactArguments("FILE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			d, err := readDeployment(args[0])
			if err != nil {
				return err
			}
			ctx, s, release := store.open(cmd)
			defer release()
			a := applier.New(s, store.keys(),
				applier.WithAuthor(author), applier.WithExpectedRevision(descriptor.Revision(expect)))
			result, err := a.Apply(ctx, d)
			if err != nil {
				return errors.Wrap(err, "nothing was written")
			}
			return printResult(cmd.OutOrStdout(), result, args[0])
		},
	}
	store.add(cmd)
	cmd.Flags().Int64Var(&expect, "expect", 0, "refuse the change unless the store is at this revision")
	cmd.Flags().StringVar(&author, "author", currentUser(), "author to record in the history")
	return cmd
}

func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func printResult(w io.Writer, result applier.Result, file string) error {
	switch r := result.(type) {
	case applier.Accepted:
		fmt.Fprintf(w, "accepted at revision %d; services changed: %v\n", r.Revision(), r.ChangedServices())
		return nil
	case applier.Refused:
		return errors.Errorf("refused: revision %d by %s (%s) was written first; services that differ from %s: %v",
			r.Revision(), r.WinningChange().Author(), r.WinningChange().At().Format(time.RFC3339), file, r.DifferingServices())
	case applier.Unknown:
		return errors.Errorf("unknown: the store did not confirm the change (%v); check with: burdocklane config settle %s",
			r.Err(), r.ChangeID())
	}
	return nil
}

func newConfigGet() *cobra.Command {
	var store storeFlags
	cmd := &cobra.Command{
		Use:   "get",
		Short: "Print the configuration in the store",
		Args:  exactArguments(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, s, release := store.open(cmd)
			defer release()
			d, err := applier.Current(ctx, s, store.keys())
			if err != nil {
				return emptyStoreError(err)
			}
			data, err := parser.EncodeDeployment(d)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.ErrOrStderr(), "revision %d, by %s\n", d.Revision(), d.Change().Author())
			fmt.Fprintf(cmd.OutOrStdout(), "%s\n", data)
			return nil
		},
	}
	store.add(cmd)
	return cmd
}

func newConfigDiff() *cobra.Command {
	var store storeFlags
	cmd := &cobra.Command{
		Use:   "diff FILE",
		Short: "Show how a configuration differs from the one in the store",
		Args:  exactArguments("FILE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			wanted, err := readDeployment(args[0])
			if err != nil {
				return err
			}
			ctx, s, release := store.open(cmd)
			defer release()
			current, err := applier.Current(ctx, s, store.keys())
			if err != nil {
				return emptyStoreError(err)
			}
			lines, err := applier.Diff(current, wanted)
			if err != nil {
				return err
			}
			for _, line := range lines {
				fmt.Fprintln(cmd.OutOrStdout(), line)
			}
			return nil
		},
	}
	store.add(cmd)
	return cmd
}

func newConfigHistory() *cobra.Command {
	var store storeFlags
	cmd := &cobra.Command{
		Use:   "history",
		Short: "List the configuration changes, newest first",
		Args:  exactArguments(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, s, release := store.open(cmd)
			defer release()
			records, err := applier.History(ctx, s, store.keys())
			if err != nil {
				return err
			}
			for _, r := range records {
				fmt.Fprintf(cmd.OutOrStdout(), "%d\t%s\t%s\t%s\t%v\n", r.Revision(),
					r.Change().At().Format(time.RFC3339), r.Change().Author(), r.Change().ID(), r.Services())
			}
			return nil
		},
	}
	store.add(cmd)
	return cmd
}

func newConfigSettle() *cobra.Command {
	var store storeFlags
	cmd := &cobra.Command{
		Use:   "settle CHANGE-ID",
		Short: "Find out whether a change with the outcome \"unknown\" was accepted",
		Args:  exactArguments("CHANGE-ID"),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, s, release := store.open(cmd)
			defer release()
			accepted, found, err := applier.New(s, store.keys()).FindChange(ctx, args[0])
			if err != nil {
				return err
			}
			if !found {
				return errors.Errorf("change %s is not in the store", args[0])
			}
			fmt.Fprintf(cmd.OutOrStdout(), "accepted at revision %d\n", accepted.Revision())
			return nil
		},
	}
	store.add(cmd)
	return cmd
}
