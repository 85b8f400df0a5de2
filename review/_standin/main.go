package main

import (
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

var cases = map[string]func(dir string, r *record, trouble bool) bool{
	"leaving": caseLeaving,
	"oldbeat": caseOldBeat,
	"silent":  caseSilent,
}

// main runs the case that its first argument names, and writes the record to the file that
// the second one names.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fail("unknown case")
	}
	path, err := filepath.Abs(os.Args[2])
	if err != nil {
		fail("%v", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fail("%v", err)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-ended
		fail("it was stopped")
	}()
	held := cases[os.Args[1]](dir, newRecord(path), os.Getenv("TROUBLE") != "0")
	stopAll()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(dir) //nolint:errcheck // A temporary folder.
	}
	if !held {
		os.Exit(statusBroken)
	}
	os.Exit(statusHeld)
}

// configuration is a configuration with one unsafe and one safe route to a service.
func configuration(version string, timeoutMs, targetMs int) map[string]any {
	route := func(prefix, kind string) map[string]any {
		return map[string]any{
			"Host": "hulo84.example", "Prefix": prefix, "Kind": kind, "TimeoutMs": timeoutMs, "TargetLatencyMs": targetMs,
			"Priority": 1, "Service": "wuno96b", "MaxAttempts": 2,
		}
	}
	return map[string]any{
		"Version":  version,
		"Routes":   map[string]any{"r-exd9dnn": route("/xapu221/", "unsafe"), "r-2b9wu3f": route("/lepu270/", "safe")},
		"Services": map[string]any{"wuno96b": map[string]any{"HealthPath": "/health", "MaxConns": 220, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}
