package operator

import (
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"bramleythread/io/platform"
)

// TestCheckComparesWithVersionInForce guards against exit statuses that hide a finding
// or an unreadable input, and against output that lacks a finding or a difference.
func TestCheckComparesWithVersionInForce(t *testing.T) {
	standin, dir := platform.NewStandin(), t.TempDir()
	web, err := serveStandin(netip.MustParseAddrPort("127.0.0.1:0"), standin.Handler())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = web.server.Close() })
	text := testConfig(3, []string{"a"})
	if _, err := platform.Publish(context.Background(), standin.Store(), 0, platform.ConfigRow{Author: "someone", Base: text}); err != nil {
		t.Fatal(err)
	}
	write := func(name, text string) string {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	base, settings := write("base.ini", text), write("settings.ini", "[store]\naddress = "+web.addr.String()+"\n")
	for name, c := range map[string]struct {
		overlay, settings, stdout, stderr string
		status                            int
	}{
		"no comparison":      {"", "", "test: 1 customers, 4 services, 3 workers, 0 homes\n", "", exitOK},
		"same":               {"", settings, "homes\nversion 1 by someone at 0001-01-01T00:00:00Z is in force: 0 differences\n", "", exitOK},
		"difference":         {"[limits]\nattempts = 3\n", settings, ": 1 differences\n  added limits.attempts = 3\n", "", exitOK},
		"warning":            {"[limits]\nmax_timeout = 30m\n", settings, "added limits.max_timeout = 30m\n", "base.ini:33: service long.timeout: warning: ", exitFailure},
		"error":              {"[limits]\nattempts = 0\n", settings, "", `overlay.ini:2: limits.attempts: "0" is not between 1 and 16`, exitFailure},
		"settings missing":   {"", filepath.Join(dir, "none"), "", "bramleythread: ", exitUsage},
		"settings invalid":   {"", write("bad.ini", "[nothing]\n"), "", "unknown section", exitUsage},
		"no platform":        {"", write("empty.ini", "[store]\n"), "", "empty.ini:1: store.address: missing", exitUsage},
		"platform is absent": {"", write("gone.ini", "[store]\naddress = 127.0.0.1:1\n"), "", "bramleythread: ", exitUsage},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			args := []string{"check", "-base", base, "-overlay", write("overlay.ini", c.overlay), "-settings", c.settings}
			status, stdout, stderr := runCommand(args...)
			is.Equal(status, c.status)
			is.True(strings.HasSuffix(stdout, c.stdout) && (c.stdout != "" || stdout == ""))
			is.True(strings.Contains(stderr, c.stderr) && (c.stderr != "" || stderr == ""))
			status, stdout, _ = runCommand(append(args, "-json")...)
			is.Equal(status, c.status)
			if status == exitUsage {
				return
			}
			var r map[string]any
			is.NoErr(json.Unmarshal([]byte(stdout), &r))
			is.Equal(len(r["findings"].([]any)) > 0, status == exitFailure)
			is.Equal(r["in_force"] != nil, c.settings != "" && name != "error")
		})
	}
	status, _, _ := runCommand("check", "-base", filepath.Join(dir, "none"))
	is.New(t).Equal(status, exitUsage)
}
