package parser_test

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"

	"burdocklane/parser"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

const validClass = `{"paths": ["/a"], "repeat": "idempotent", "target": {"latency": "80ms", "quantile": 0.99}}`

func TestDeploymentReportsPathOfEveryViolation(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []string
	}{
		{
			"no unit", `{"deployment": "d", "services": {"batch-ledger": {"classes": {"reserve": {"paths": ["/a"], "repeat": "at-most-once", "target": {"latency": "80", "quantile": 0.9}}}}}}`,
			[]string{`f: services.batch-ledger.classes.reserve.target.latency: "80" has no unit`},
		},
		{"not JSON", "{\n\"deployment\": d}", []string{"f: deployment: is not JSON: line 2: invalid character 'd' looking for beginning of value"}},
		{"not an object", `[1]`, []string{"f: must be an object, got [1]"}},
		{
			"trailing data", `{"deployment": "d", "services": {"s": {"classes": {"c": ` + validClass + `}}}} x`,
			[]string{"f: has trailing data: x"},
		},
		{
			"several violations", `{"deployment": "D", "weights": 1, "services": {"s": {"classes": {"c": {"paths": ["a"], "repeat": "maybe", "target": {"latency": "1s", "quantile": 2}}}}}}`,
			[]string{
				`f: deployment: "D" is not in kebab case (a-z, 0-9, -)`,
				`f: services.s.classes.c.paths: "a" does not start with /`,
				`f: services.s.classes.c.repeat: "maybe" is not one of idempotent, at-most-once`,
				`f: services.s.classes.c.target.quantile: 2 is not between 0 and 1`,
				`f: weights: is not a known field`,
			},
		},
		{
			"unknown address field", `{"deployment": "d", "services": {"s": {"address": "h:1", "classes": {"c": ` + validClass + `}}}}`,
			[]string{`f: services.s.address: is not a known field`},
		},
		{"missing fields", `{}`, []string{"f: deployment: is missing", `f: deployment: "" must have 1 to 63 characters`, "f: services: is missing"}},
		{
			"duplicate field", `{"deployment": "d", "deployment": "e", "services": {"s": {"classes": {"c": ` + validClass + `}}}}`,
			[]string{"f: deployment: is a duplicate field"},
		},
		{
			"overlapping classes", `{"deployment": "d", "services": {"s": {"classes": {"b": ` + validClass + `, "c": ` + validClass + `}}}}`,
			[]string{"f: services.s.classes.c: matches  /a, which services.s.classes.b already matches"},
		},
		{
			"deadline below target latency", `{"deployment": "d", "services": {"s": {"classes": {"c": {"deadline": "1ms", "paths": ["/a"], "repeat": "idempotent", "target": {"latency": "80ms", "quantile": 0.99}}}}}}`,
			[]string{"f: services.s.classes.c.deadline: 1ms is shorter than the target's latency 80ms"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := parser.ParseDeployment("f", []byte(test.text))
			var documentError *parser.DocumentError
			c.Assert(errors.As(err, &documentError), qt.IsTrue)
			c.Assert(strings.Split(err.Error(), "\n"), qt.ContentEquals, test.want)
		})
	}
}

func TestSettingsReportPathOfEveryViolation(t *testing.T) {
	tests := []struct {
		name        string
		replacement [2]string
		want        string
	}{
		{"valid", [2]string{}, ""},
		{"unknown field", [2]string{`"log-level": "info"`, `"log-levels": "info"`}, "f: log-levels: is not a known field"},
		{"bad address", [2]string{`"127.0.0.1:8080"`, `"8080"`}, `f: listen.callers: "8080" is not host:port`},
		{"bad duration", [2]string{`"5s"`, `"5 seconds"`}, `f: limits.header-timeout: "5 seconds" is not a duration such as "80ms"`},
		{"out of bounds", [2]string{`"connections": 4096`, `"connections": 0`}, "f: limits.connections: 0 is not between 1 and 1048576"},
		{"plaintext outside loopback", [2]string{`"127.0.0.1:8081"`, `"10.0.0.1:8081"`}, `f: peer-tls: is missing: without TLS the peers' port must use a loopback address, not "10.0.0.1"`},
	}
	example, err := os.ReadFile("../examples/instance.json")
	qt.Assert(t, err, qt.IsNil)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			text := string(example)
			if test.want != "" {
				c.Assert(text, qt.Contains, test.replacement[0])
				text = strings.Replace(text, test.replacement[0], test.replacement[1], 1)
			}
			_, err := parser.ParseSettings("f", []byte(text))
			if test.want == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorMatches, "(?s).*"+strings.NewReplacer("(", `\(`, ")", `\)`).Replace(test.want)+".*")
		})
	}
}

func TestExamplesMatchSchemaAndRoundTrip(t *testing.T) {
	tests := []struct{ example, schema string }{
		{"authority.json", "configuration.schema.json"},
		{"association.json", "configuration.schema.json"},
		{"tenants.json", "configuration.schema.json"},
		{"instance.json", "settings.schema.json"},
	}
	for _, test := range tests {
		t.Run(test.example, func(t *testing.T) {
			c := qt.New(t)
			data, err := os.ReadFile("../examples/" + test.example)
			c.Assert(err, qt.IsNil)
			schema, err := jsonschema.NewCompiler().Compile("../examples/" + test.schema)
			c.Assert(err, qt.IsNil)
			document, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
			c.Assert(err, qt.IsNil)
			c.Assert(schema.Validate(document), qt.IsNil)
			if test.schema == "settings.schema.json" {
				_, err = parser.ParseSettings(test.example, data)
				c.Assert(err, qt.IsNil)
				return
			}
			first, err := parser.ParseDeployment(test.example, data)
			c.Assert(err, qt.IsNil)
			encoded, err := parser.EncodeDeployment(first)
			c.Assert(err, qt.IsNil)
			second, err := parser.ParseDeployment("encoded", encoded)
			c.Assert(err, qt.IsNil)
			secondEncoded, err := parser.EncodeDeployment(second)
			c.Assert(err, qt.IsNil)
			c.Assert(string(secondEncoded), qt.Equals, string(encoded))
		})
	}
}

func FuzzDeployment(f *testing.F) {
	for _, name := range []string{"authority.json", "association.json", "tenants.json"} {
		data, err := os.ReadFile("../examples/" + name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(`{"deployment": "d", "services": {"s": {"classes": {"c": ` + validClass + `}}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := parser.ParseDeployment("f", data)
		if err != nil {
			return
		}
		if !json.Valid(data) {
			t.Fatal("accepted input that is not JSON")
		}
		encoded, err := parser.EncodeDeployment(d)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := parser.ParseDeployment("encoded", encoded); err != nil {
			t.Fatalf("encoded deployment does not parse: %v\n%s", err, encoded)
		}
	})
}
