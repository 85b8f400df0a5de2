package commander

import (
	"encoding/json"
	"io"
	"os"
	"time"

	"burdocklane/explainer"
	"burdocklane/inspector"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

// explainFlags holds the flags of the explain command.
type explainFlags struct {
	admin    string
	logs     []string
	timeline bool
	at       string
	instance string
}

// causeLine is printed after the decisions of a call.
type causeLine struct {
	ID    string `json:"request-id"`
	Cause string `json:"cause"`
}

func newExplain() *cobra.Command {
	var e explainFlags
	cmd := &cobra.Command{
		Use:   "explain [CALL-ID]",
		Short: "Explain how a call was routed, or show an instance's logged state at a time",
		Long: `CALL-ID is the X-Request-Id of a call. With --log, prints the decisions of all
instances for the call in order of time, and a line with the cause of its outcome.
Without --log, prints the decisions that the instance at --admin still has in memory.

With --at and --instance instead of CALL-ID, prints the state of the instance at that
time as its log shows it: its latest line of each kind.`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if e.at != "" {
				return e.printState(cmd)
			}
			if len(args) == 0 {
				return newInputError(errors.New("explain: requires CALL-ID or --at"))
			}
			return e.explainCall(cmd, args[0])
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&e.admin, "admin", defaultAdmin, "host:port of the instance's admin port")
	flags.StringArrayVar(&e.logs, "log", nil, "log file of one or more instances, or - for standard input; may be repeated")
	flags.BoolVar(&e.timeline, "story", false, "print a readable timeline instead of JSON lines")
	flags.StringVar(&e.at, "at", "", "show the state of --instance at this time (RFC 3339)")
	flags.StringVar(&e.instance, "instance", "", "instance whose state --at shows")
	return cmd
}

func (e explainFlags) explainCall(cmd *cobra.Command, id string) error {
	out := cmd.OutOrStdout()
	if len(e.logs) == 0 {
		data, err := inspector.FetchDecisions(cmd.Context(), e.admin, id)
		if err != nil {
			return err
		}
		_, err = out.Write(data)
		return err
	}
	lines, err := e.readLogs(cmd.InOrStdin())
	if err != nil {
		return err
	}
	timeline, ok := explainer.NewTimeline(lines, id)
	if !ok {
		return errors.Errorf("no decision for %q in the logs", id)
	}
	if e.timeline {
		return timeline.Write(out)
	}
	if err := writeLines(out, timeline.Lines()); err != nil {
		return err
	}
	return json.NewEncoder(out).Encode(causeLine{ID: id, Cause: explainer.CauseText(timeline.Cause())})
}

func (e explainFlags) printState(cmd *cobra.Command) error {
	at, err := time.Parse(time.RFC3339, e.at)
	if err != nil {
		return newInputError(errors.Wrap(err, "--at"))
	}
	if e.instance == "" || len(e.logs) == 0 {
		return newInputError(errors.New("explain: --at requires --instance and --log"))
	}
	lines, err := e.readLogs(cmd.InOrStdin())
	if err != nil {
		return err
	}
	state := explainer.StateAt(lines, e.instance, at)
	if len(state) == 0 {
		return errors.Errorf("no log lines of instance %s before %s", e.instance, e.at)
	}
	return writeLines(cmd.OutOrStdout(), state)
}

func (e explainFlags) readLogs(stdin io.Reader) ([]explainer.Line, error) {
	var all []explainer.Line
	for _, path := range e.logs {
		lines, err := readLogFile(path, stdin)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLogFile(path string, stdin io.Reader) ([]explainer.Line, error) {
	if path == "-" {
		return explainer.Read(stdin)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, newInputError(err)
	}
	defer file.Close()
	return explainer.Read(file)
}

func writeLines(out io.Writer, lines []explainer.Line) error {
	for _, l := range lines {
		if _, err := out.Write(append(l.Raw(), '\n')); err != nil {
			return err
		}
	}
	return nil
}
