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

// Parameters of the local system.
const (
	localWorkers      = 2
	localSlots        = 8
	localAccelerators = 8
	localConnections  = 64
	localReadyTimeout = 5 * time.Second
	localReadyPoll    = 5 * time.Millisecond
	localToken        = "local-token" // local.ini holds its digest
)

var cmdLocal = &Command{
	Name:        "local",
	Description: "Runs the whole system on loopback, to try it",
	Args:        "[-http ADDRESS] [-quiet]",
	Action: func(env Env, args []string) error {
		fs := cmdFlags("local", env)
		address := fs.String("http", "127.0.0.1:0", "callers' `ADDRESS`; port 0 takes a free one")
		quiet := fs.Bool("quiet", false, "log warnings only")
		if err := parseFlags(env, fs, args, 0); err != nil {
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
		_, _ = fmt.Fprintf(env.Stdout, "platform's address, for operators' settings: %s\n", l.store.addr)
		_, _ = fmt.Fprintln(env.Stdout, l.curlRequest())
		_, _ = fmt.Fprintln(env.Stdout, l.curlJob())
		state, err := l.runSampleJob()
		if err != nil {
			return eris.Wrap(err, "local")
		}
		_, _ = fmt.Fprintf(env.Stdout, "job first: %s\n", state)
		<-signals
		return nil
	},
}

// localSystem runs all parts of the system in one process.
type localSystem struct {
	platform  *platform.Standin
	store     *webServer // serves platform to the operators' commands
	entry     *entryProcess
	agents    []*agentProcess
	upstreams []*upstreamStandin
	jobs      *localJobs
}

// loopbackAnyPort is a loopback address with a port that the kernel chooses.
var loopbackAnyPort = netip.MustParseAddrPort("127.0.0.1:0")

// startLocal starts all parts of the system and waits until the entry is ready.
func startLocal(addr netip.AddrPort, log zerolog.Logger) (*localSystem, error) {
	l := &localSystem{platform: platform.NewStandin()}
	store := l.platform.Store()
	row := platform.ConfigRow{Author: "local", Time: time.Now().UTC(), Base: localConfig}
	if _, err := platform.Publish(context.Background(), store, 0, row); err != nil {
		return nil, err
	}
	if err := l.startComponents(addr, store, log); err != nil {
		l.kill()
		return nil, err
	}
	return l, l.waitReady()
}

func (l *localSystem) startComponents(addr netip.AddrPort, store platform.Store, log zerolog.Logger) (err error) {
	anyPort := loopbackAnyPort
	key := []byte("bramleythread on loopback")
	drain := config.DrainSettings{Limit: time.Second}
	if l.store, err = serveStandin(loopbackAnyPort, l.platform.Handler()); err != nil {
		return err
	}
	l.entry, err = startEntry(&config.Settings{
		Name: "local", Zone: "loopback", HTTP: addr, Control: anyPort, Advertise: anyPort, SharedKey: key, Drain: drain,
	}, store, log)
	if err != nil {
		return err
	}
	for i := range localWorkers {
		a, err := startAgent(&config.Settings{
			Name: fmt.Sprintf("worker-%d", i+1), Zone: "loopback", Rack: "loopback-1",
			HTTP: anyPort, Control: anyPort, Advertise: anyPort, SharedKey: key, Drain: drain,
			Entries: []netip.AddrPort{l.entry.address},
		}, store, log)
		if err != nil {
			return err
		}
		l.agents = append(l.agents, a)
		u, err := startUpstreamStandin(&config.Settings{
			HTTP: anyPort, Drain: drain,
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

// waitReady waits until the entry is ready and can use every worker.
func (l *localSystem) waitReady() error {
	for end := time.Now().Add(localReadyTimeout); time.Now().Before(end); time.Sleep(localReadyPoll) {
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

// curlRequest returns a command line that sends one request.
func (l *localSystem) curlRequest() string {
	return fmt.Sprintf("curl -sS -i -H 'Authorization: Bearer %s' -H 'Idempotency-Key: first' -d '{\"pod\":\"T1-17\"}' http://%s/v1/services/podcheck/requests",
		localToken, l.entry.web.addr)
}

// curlJob returns a command line that submits a durable job.
func (l *localSystem) curlJob() string {
	return fmt.Sprintf("curl -sS -i -H 'Authorization: Bearer %s' -d '%s' http://%s%s",
		localToken, sampleJob, l.entry.web.addr, localJobPath+"second")
}

// A sample job.
const (
	localJobPath = "/v1/queues/podcheck/jobs/"
	sampleJob    = `{"steps":[{"count":3,"cpu_millicores":500,"accelerators":1}]}`
)

// runSampleJob submits the sample job over HTTP and waits until it has ended.
func (l *localSystem) runSampleJob() (wire.JobState, error) {
	ctx, cancel := context.WithTimeout(context.Background(), localReadyTimeout)
	defer cancel()
	url := "http://" + l.entry.web.addr.String() + localJobPath + "first"
	if _, err := callJobAPI(ctx, http.MethodPost, url, sampleJob); err != nil {
		return "", err
	}
	for {
		state, err := callJobAPI(ctx, http.MethodGet, url, "")
		if err != nil || state.Final() {
			return state, err
		}
		time.Sleep(localReadyPoll)
	}
}

// callJobAPI calls the job API and returns the job's state.
func callJobAPI(ctx context.Context, method, url, body string) (wire.JobState, error) {
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

func (l *localSystem) kill() {
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
	if l.store != nil {
		_ = l.store.server.Close()
	}
}
