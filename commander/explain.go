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

// explanation is what the command line asks for.
type explanation struct {
	admin    string
	logs     []string
	story    bool
	at       string
	instance string
}

// causeLine follows the lines of a call.
type causeLine struct {
	ID    string `json:"request-id"`
	Cause string `json:"cause"`
}

func newExplain() *cobra.Command {
	var e explanation
	cmd := &cobra.Command{
		Use:   "explain [CALL-ID]",
		Short: "Tell why a call went where it went, or what an instance believed",
		Long: `CALL-ID is the X-Request-Id of a call. With --log, the decisions that any instance
made for it are printed in the order of their time, and a line with the cause of its
end. Without, the instance at --admin prints those that it still keeps.

With --at and --instance in place of CALL-ID, prints what the instance believed at
that time: its latest line of each kind.`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if e.at != "" {
				return e.believed(cmd)
			}
			if len(args) == 0 {
				return badInput(errors.New("explain: CALL-ID or --at is needed"))
			}
			return e.call(cmd, args[0])
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&e.admin, "admin", defaultAdmin, "host:port of the instance's admin port")
	flags.StringArrayVar(&e.logs, "log", nil, "read this file of log lines, of one or more instances; - is standard input; may be repeated")
	flags.BoolVar(&e.story, "story", false, "tell it for people, instead of as JSON lines")
	flags.StringVar(&e.at, "at", "", "tell what --instance believed at this time (RFC 3339)")
	flags.StringVar(&e.instance, "instance", "", "the instance that --at is about")
	return cmd
}

func (e explanation) call(cmd *cobra.Command, id string) error {
	out := cmd.OutOrStdout()
	if len(e.logs) == 0 {
		data, err := inspector.FetchExplain(cmd.Context(), e.admin, id)
		if err != nil {
			return err
		}
		_, err = out.Write(data)
		return err
	}
	lines, err := e.read(cmd.InOrStdin())
	if err != nil {
		return err
	}
	story, ok := explainer.Tell(lines, id)
	if !ok {
		return errors.Errorf("the logs have no decision for %q", id)
	}
	if e.story {
		return story.Write(out)
	}
	if err := writeRaw(out, story.Lines()); err != nil {
		return err
	}
	return json.NewEncoder(out).Encode(causeLine{ID: id, Cause: explainer.Text(story.Cause())})
}

func (e explanation) believed(cmd *cobra.Command) error {
	at, err := time.Parse(time.RFC3339, e.at)
	if err != nil {
		return badInput(errors.Wrap(err, "--at"))
	}
	if e.instance == "" || len(e.logs) == 0 {
		return badInput(errors.New("explain: --at needs --instance and --log"))
	}
	lines, err := e.read(cmd.InOrStdin())
	if err != nil {
		return err
	}
	beliefs := explainer.Beliefs(lines, e.instance, at)
	if len(beliefs) == 0 {
		return errors.Errorf("the logs tell nothing of %s before %s", e.instance, e.at)
	}
	return writeRaw(cmd.OutOrStdout(), beliefs)
}

func (e explanation) read(stdin io.Reader) ([]explainer.Line, error) {
	var all []explainer.Line
	for _, path := range e.logs {
		lines, err := readLog(path, stdin)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLog(path string, stdin io.Reader) ([]explainer.Line, error) {
	if path == "-" {
		return explainer.Read(stdin)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, badInput(err)
	}
	defer file.Close()
	return explainer.Read(file)
}

func writeRaw(out io.Writer, lines []explainer.Line) error {
	for _, l := range lines {
		if _, err := out.Write(append(l.Raw(), '\n')); err != nil {
			return err
		}
	}
	return nil
}
