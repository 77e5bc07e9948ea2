package config

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestDifferences guards against changes that are not listed and tokens that are shown.
func TestDifferences(t *testing.T) {
	const other = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
	for name, c := range map[string]struct{ old, next, changes string }{
		"none":                {"[limits]\nattempts = 2\n", "; moved\n[limits]\n\nattempts = 2\n", ""},
		"added":               {"", "[limits]\nattempts = 2\n", "added limits.attempts = 2"},
		"removed":             {"[limits]\nattempts = 2\n", "", "removed limits.attempts = 2"},
		"changed":             {"[limits]\nattempts = 2\n", "[limits]\nattempts = 3\n", "changed limits.attempts = 3, was 2"},
		"sorted":              {"[shape b]\nslots = 1\n", "[shape a]\nslots = 2\nworkers = 3\n[shape c]\nslots = 4\nworkers = 5\n", "added shape a.slots = 2|added shape a.workers = 3|removed shape b.slots = 1|added shape c.slots = 4|added shape c.workers = 5"},
		"overrides base":      {"", "[deployment]\nname = site\n", "changed deployment.name = site, was test"},
		"as in base":          {"", "[deployment]\nname = test\n", ""},
		"token":               {"", "[customer a]\ntoken_sha256 = " + testDigest + ", " + strings.ToUpper(other) + "\n", "changed customer a.token_sha256 = aaaaaaaaaaaa..., bbbbbbbbbbbb..., was aaaaaaaaaaaa..."},
		"token in the clear":  {"[operator o]\ntoken_sha256 = abcdef0123456789\n", "", "removed operator o.token_sha256 = (not a digest)"},
		"unreadable in force": {"nothing\n", "", "error"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			base := Source{Name: "base", Text: []byte(validConfig)}
			changes, err := Differences([]Source{base, {Name: "overlay", Text: []byte(c.old)}}, []Source{base, {Name: "overlay", Text: []byte(c.next)}})
			lines := make([]string, len(changes))
			for i, x := range changes {
				lines[i] = x.String()
			}
			if err != nil {
				lines = []string{"error"}
			}
			is.Equal(strings.Join(lines, "|"), c.changes)
		})
	}
}
