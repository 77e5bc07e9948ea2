package operator

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"bramleythread/core/config"
)

const (
	operatorTimeout = 10 * time.Second
	maxReply        = 16 << 20 // bytes
)

// ReplyError is an entry's refusal of an operator's request.
type ReplyError struct {
	Status int
	Detail string
}

// Error describes the refusal.
func (e *ReplyError) Error() string { return fmt.Sprintf("entry answered %d: %s", e.Status, e.Detail) }

// settingsFlag adds the flag of the operator's settings.
func settingsFlag(fs *flag.FlagSet) *string {
	return fs.String("settings", "", "operator's settings `FILE` (or $BRAMLEYTHREAD_SETTINGS)")
}

// settingsPath returns the file that the flag or the environment names.
func settingsPath(env Env, value string) string {
	if value != "" {
		return value
	}
	return env.Getenv("BRAMLEYTHREAD_SETTINGS")
}

// operatorSettings reads the operator's settings; the token may come from the
// environment.
func operatorSettings(env Env, file string) (*config.Settings, error) {
	s, err := loadSettings(config.RoleOperator, settingsPath(env, file))
	if err != nil {
		return nil, err
	}
	if token := env.Getenv("BRAMLEYTHREAD_TOKEN"); token != "" {
		s.Operator.Token = token
	}
	return s, nil
}

// askEntry calls an operators' path of the entry and decodes the reply into
// out, if out is not nil.
func askEntry(s *config.Settings, method, path string, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+s.Operator.Entry.String()+path, nil)
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+s.Operator.Token)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return eris.Wrap(err, "entry")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return eris.Wrap(err, "entry")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		var p struct {
			Detail string `json:"detail"`
		}
		_ = json.Unmarshal(data, &p)
		return &ReplyError{Status: resp.StatusCode, Detail: p.Detail}
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}

func escape(name string) string { return url.PathEscape(name) }

// entryFlag adds the flag of an entry's metrics address.
func entryFlag(fs *flag.FlagSet) *string {
	return fs.String("entry", "", "metrics `ADDRESS` of an entry that serves durable jobs")
}

// readEntry reads a path of an entry's metrics address.
func readEntry(address, path string, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return eris.Wrap(err, "entry")
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return eris.Wrap(err, "entry")
	}
	if resp.StatusCode != http.StatusOK {
		return &ReplyError{Status: resp.StatusCode, Detail: strings.TrimSpace(string(data))}
	}
	return json.Unmarshal(data, out)
}
