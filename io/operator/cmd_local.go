package operator

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bramleythread/core/config"
	"bramleythread/io/platform"
	"bramleythread/io/wire"
)

//go:embed local.ini
var localConfig string

// Sizes and times of the local system.
const (
	localWorkers      = 2
	localSlots        = 8
	localAccelerators = 8
	localConnections  = 64
	localReadyLimit   = 5 * time.Second
	localReadyPoll    = 5 * time.Millisecond
	localToken        = "local-token" // its digest stands in local.ini
)

var cmdLocal = &Command{
	Name:        "local",
	Description: "Runs the whole system on loopback, to try it",
	Args:        "[-http ADDRESS] [-quiet]",
	Action: func(env Env, args []string) error {
		fs := cmdFlags("local", env)
		address := fs.String("http", "127.0.0.1:0", "callers' `ADDRESS`; port 0 takes a free one")
		quiet := fs.Bool("quiet", false, "log warnings only")
		if err := parse(env, fs, args, 0); err != nil {
			return err
		}
		listen, err := netip.ParseAddrPort(*address)
		if err != nil {
			return &UsageError{Reason: err.Error()}
		}
		level := "info"
		if *quiet {
			level = "warn"
		}
		log := newLogger(env, level)
		defer func() { _ = log.Close() }()
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		defer signal.Stop(signals)
		l, err := startLocal(listen, log.Logger)
		if err != nil {
			return eris.Wrap(err, "local")
		}
		defer l.kill()
		_, _ = fmt.Fprintf(env.Stdout, "callers' address: http://%s\n", l.entry.web.addr)
		_, _ = fmt.Fprintln(env.Stdout, l.curl())
		_, _ = fmt.Fprintln(env.Stdout, l.curlJob())
		state, err := l.tryJob()
		if err != nil {
			return eris.Wrap(err, "local")
		}
		_, _ = fmt.Fprintf(env.Stdout, "job first: %s\n", state)
		<-signals
		return nil
	},
}

// local is the whole system in one process.
type local struct {
	platform  *platform.Standin
	entry     *entryProcess
	agents    []*agentProcess
	upstreams []*upstreamProcess
	jobs      *localJobs
}

// loopbackAny is a loopback address with a port of the kernel's choice.
var loopbackAny = netip.MustParseAddrPort("127.0.0.1:0")

// startLocal starts every part and waits until the entry is ready.
func startLocal(addr netip.AddrPort, log zerolog.Logger) (*local, error) {
	l := &local{platform: platform.NewStandin()}
	store := l.platform.Store()
	row := platform.ConfigRow{Author: "local", Time: time.Now().UTC(), Base: localConfig}
	if _, err := platform.Publish(context.Background(), store, 0, row); err != nil {
		return nil, err
	}
	if err := l.startParts(addr, store, log); err != nil {
		l.kill()
		return nil, err
	}
	return l, l.waitReady()
}

func (l *local) startParts(addr netip.AddrPort, store platform.Store, log zerolog.Logger) (err error) {
	any := loopbackAny
	key := []byte("bramleythread on loopback")
	drain := config.DrainSettings{Limit: time.Second}
	l.entry, err = startEntry(&config.Settings{
		Name: "local", Zone: "loopback", HTTP: addr, Control: any, Advertise: any, SharedKey: key, Drain: drain,
	}, store, log)
	if err != nil {
		return err
	}
	for i := range localWorkers {
		a, err := startAgent(&config.Settings{
			Name: fmt.Sprintf("worker-%d", i+1), Zone: "loopback", Rack: "loopback-1",
			HTTP: any, Control: any, Advertise: any, SharedKey: key, Drain: drain,
			Entries: []netip.AddrPort{l.entry.address},
		}, store, log)
		if err != nil {
			return err
		}
		l.agents = append(l.agents, a)
		u, err := startUpstream(&config.Settings{
			HTTP: any, Drain: drain,
			Upstream: config.UpstreamSettings{
				Agent: a.web.addr, Slots: localSlots, Accelerators: localAccelerators, Connections: localConnections,
				Services: []string{"podcheck", "berthplan"}, RunTime: 5 * time.Millisecond, Seed: i,
			},
		}, log)
		if err != nil {
			return err
		}
		l.upstreams = append(l.upstreams, u)
	}
	cfg, err := config.Parse(config.Source{Name: "local.ini", Text: []byte(localConfig)})
	if err != nil {
		return err
	}
	l.jobs, err = startLocalJobs(l.entry.mux, store, cfg, log)
	return err
}

// waitReady waits until every worker is in service.
func (l *local) waitReady() error {
	for end := time.Now().Add(localReadyLimit); time.Now().Before(end); time.Sleep(localReadyPoll) {
		usable := 0
		for _, w := range l.entry.entry.Status().Workers {
			if w.Usable {
				usable++
			}
		}
		if usable == localWorkers && l.entry.entry.Ready() {
			return nil
		}
	}
	return eris.New("not ready in time")
}

// curl returns a command line that sends one request.
func (l *local) curl() string {
	return fmt.Sprintf("curl -sS -i -H 'Authorization: Bearer %s' -H 'Idempotency-Key: first' -d '{\"pod\":\"T1-17\"}' http://%s/v1/services/podcheck/requests",
		localToken, l.entry.web.addr)
}

// curlJob returns a command line that submits a durable job.
func (l *local) curlJob() string {
	return fmt.Sprintf("curl -sS -i -H 'Authorization: Bearer %s' -d '%s' http://%s%s",
		localToken, localJob, l.entry.web.addr, localJobPath+"second")
}

// A job to try.
const (
	localJobPath = "/v1/queues/podcheck/jobs/"
	localJob     = `{"steps":[{"count":3,"cpu_millicores":500,"accelerators":1}]}`
)

// tryJob submits a job over HTTP and waits until it has ended.
func (l *local) tryJob() (wire.JobState, error) {
	ctx, cancel := context.WithTimeout(context.Background(), localReadyLimit)
	defer cancel()
	url := "http://" + l.entry.web.addr.String() + localJobPath + "first"
	if _, err := callJob(ctx, http.MethodPost, url, localJob); err != nil {
		return "", err
	}
	for {
		state, err := callJob(ctx, http.MethodGet, url, "")
		if err != nil || state.Final() {
			return state, err
		}
		time.Sleep(localReadyPoll)
	}
}

// callJob makes one call of the interface for jobs and returns the job's state.
func callJob(ctx context.Context, method, url, body string) (wire.JobState, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return "", err
	}
	r.Header.Set("Authorization", "Bearer "+localToken)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		State  wire.JobState `json:"state"`
		Detail string        `json:"detail"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return "", err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return "", eris.Errorf("status %d: %s", resp.StatusCode, answer.Detail)
	}
	return answer.State, nil
}

func (l *local) kill() {
	if l.jobs != nil {
		l.jobs.kill()
	}
	for _, u := range l.upstreams {
		u.kill()
	}
	for _, a := range l.agents {
		a.kill()
	}
	if l.entry != nil {
		l.entry.kill()
	}
}
