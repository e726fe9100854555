package cmds

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// run runs a command line and returns its exit status and output.
func run(args ...string) (status int, out, errOut string) {
	var o, e bytes.Buffer
	status = Run(context.Background(), append([]string{"celerypin"}, args...), &o, &e)
	return status, o.String(), e.String()
}

// TestPagesMatchHelp checks that each command has a page that contains its help.
func TestPagesMatchHelp(t *testing.T) {
	for _, command := range newApp(nil, nil).Commands {
		t.Run(command.Name, func(t *testing.T) {
			page, err := os.ReadFile(filepath.Join("..", "..", "..", "Documentation", "cli", command.Name+".md"))
			if err != nil {
				t.Fatal(err)
			}
			lines := [][]string{{command.Name}}
			for _, sub := range command.Commands {
				lines = append(lines, []string{command.Name, sub.Name})
			}
			for _, line := range lines {
				_, help, _ := run(append(line, "--help")...)
				if help = strings.TrimSpace(help); help == "" || !strings.Contains(string(page), help) {
					t.Errorf("page lacks the help of %v, want:\n%s", line, help)
				}
			}
		})
	}
}

func TestExitStatuses(t *testing.T) {
	example := filepath.Join("..", "..", "..", "examples", "pushpa", "config.json")
	bad := filepath.Join(t.TempDir(), "bad.json")
	if err := os.WriteFile(bad, []byte(`{"host": 1}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name   string
		args   []string
		status int
		want   string
	}{
		{"valid configuration", []string{"config", "check", example}, ExitOK, "valid: 8 accounts"},
		{"invalid settings", []string{"serve", "--config", bad}, ExitUsage, "bad.json: region: want a value"},
		{"missing settings", []string{"serve", "--config", "none"}, ExitUsage, "no such file"},
		{"missing argument", []string{"config", "check"}, ExitUsage, "expected one FILE"},
		{"invalid output format", []string{"hosts", "list", "--output", "xml"}, ExitUsage, "must be one of table, json"},
		{"unreachable host", []string{"hosts", "list", "--host", "127.0.0.1:1"}, ExitFailed, "no host answered"},
		{"unknown command", []string{"nosuch"}, ExitUsage, "expected a command"},
		{"unknown subcommand", []string{"config", "nosuch"}, ExitUsage, "expected a command"},
		{"unknown flag", []string{"config", "check", "--weight", "3"}, ExitUsage, "weight"},
		{"more hedging than allowed", []string{"serve", "--hedge-fraction", "0.2"}, ExitUsage, "must be 0 or from 0.001 to 0.1, got 0.2"},
		{"negative hedging", []string{"serve", "--hedge-fraction=-0.01"}, ExitUsage, "got -0.01"},
		{"hedging where it has no effect", []string{"serve", "--hedge-fraction", "0.02", "--config", "none"}, ExitUsage, "no effect with --config"},
		{"demo beyond the limit", []string{"demo", "--for", "1000h"}, ExitUsage, "at most"},
	} {
		t.Run(c.name, func(t *testing.T) {
			status, out, errOut := run(c.args...)
			if status != c.status || !strings.Contains(out+errOut, c.want) {
				t.Errorf("got status %d, %q, want %d with %q", status, out+errOut, c.status, c.want)
			}
		})
	}
}

func TestDiffLines(t *testing.T) {
	got := strings.Join(diffLines([]string{"a", "b", "c"}, []string{"a", "x", "c", "d"}), " ")
	if want := "- b + x + d"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
