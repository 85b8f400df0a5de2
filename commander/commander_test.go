package commander_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"burdocklane/commander"

	qt "github.com/frankban/quicktest"
)

func TestExitStatusAndMessages(t *testing.T) {
	invalid := filepath.Join(t.TempDir(), "bad.json")
	qt.Assert(t, os.WriteFile(invalid, []byte(`{"deployment": "d", "services": {}, "x": 1}`), 0o600), qt.IsNil)
	tests := []struct {
		name   string
		args   []string
		status int
		want   string
	}{
		{"help", []string{"--help"}, 0, "burdocklane demo --for 10s"},
		{"version", []string{"version"}, 0, "burdocklane "},
		{"completion", []string{"completion", "bash"}, 0, "bash completion"},
		{"valid configuration", []string{"config", "check", "../examples/association.json"}, 0, "good: 3 service(s)"},
		{"all errors are listed", []string{"config", "check", invalid}, 2, "services: declares no service\n" + invalid + ": x: is not a known field"},
		{"no such file", []string{"config", "check", "nowhere.json"}, 2, "nowhere.json"},
		{"no such command", []string{"conjure"}, 2, `"conjure" is not a command`},
		{"no such subcommand", []string{"config", "conjure"}, 2, `"conjure" is not a command`},
		{"no such flag", []string{"status", "--colour"}, 2, "unknown flag: --colour"},
		{"missing argument", []string{"config", "apply"}, 2, "takes 1 argument(s): [FILE]"},
		{"invalid revision", []string{"config", "wait", "soon"}, 2, `"soon" is not a revision`},
		{"duration out of range", []string{"demo", "--for", "0s"}, 2, "--for: 0s is not between"},
		{"store not reachable", []string{"config", "get", "--store", "http://127.0.0.1:1"}, 1, "connection refused"},
		{"instance not reachable", []string{"status", "--admin", "127.0.0.1:1"}, 1, "connection refused"},
		{"where: a key in place of a tenant is not repeated", []string{"where", "--address", "127.0.0.1:1", "--tenant", "key"}, 1, "admin port 127.0.0.1:1: dial"},
		{"invalid settings", []string{"serve", "--settings", invalid}, 2, invalid + ": listen: is missing"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var output bytes.Buffer
			status := commander.Run(test.args, &output, &output)
			c.Assert(status, qt.Equals, test.status, qt.Commentf("%s", output.String()))
			c.Assert(output.String(), qt.Contains, test.want)
		})
	}
}
