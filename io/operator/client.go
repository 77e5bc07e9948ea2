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

// ReplyError reports that an entry answered an operator's request with an error
// status.
type ReplyError struct {
	Status int
	Detail string
}

// Error returns the status and the detail.
func (e *ReplyError) Error() string { return fmt.Sprintf("entry answered %d: %s", e.Status, e.Detail) }

// addSettingsFlag adds the flag that names the operator's settings file.
func addSettingsFlag(fs *flag.FlagSet) *string {
	return fs.String("settings", "", "operator's settings `FILE` (or $BRAMLEYTHREAD_SETTINGS)")
}

// settingsPath returns the path given by the flag or else by the environment.
func settingsPath(env Env, flagValue string) string {
	if flagValue != "" {
		return flagValue
	}
	return env.Getenv("BRAMLEYTHREAD_SETTINGS")
}

// loadOperatorSettings reads the operator's settings. A token in the environment
// overrides the one in the file.
func loadOperatorSettings(env Env, file string) (*config.Settings, error) {
	s, err := loadSettings(config.RoleOperator, settingsPath(env, file))
	if err != nil {
		return nil, err
	}
	if token := env.Getenv("BRAMLEYTHREAD_TOKEN"); token != "" {
		s.Operator.Token = token
	}
	return s, nil
}

// callEntry calls an entry's operator API and decodes the response into out,
// unless out is nil.
func callEntry(s *config.Settings, method, path string, out any) error {
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

// addEntryFlag adds the flag that gives an entry's metrics address.
func addEntryFlag(fs *flag.FlagSet) *string {
	return fs.String("entry", "", "metrics `ADDRESS` of an entry that serves durable jobs")
}

// getMetricsPath gets a path from an entry's metrics address and decodes the
// response into out.
func getMetricsPath(address, path string, out any) error {
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
