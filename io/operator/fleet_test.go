package operator

import (
	"bytes"
	"cmp"
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"bramleythread/core/config"
	"bramleythread/io/caller"
	"bramleythread/io/platform"
	"bramleythread/io/upstream"
)

// runAsProgramEnv is the environment variable that makes the test binary run as
// the program.
const runAsProgramEnv = "BRAMLEYTHREAD_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) != "" {
		os.Exit(Main(Env{Args: os.Args, Getenv: os.Getenv, Stdout: os.Stdout, Stderr: os.Stderr}))
	}
	os.Exit(m.Run())
}

const (
	testKeyHex    = "000102030405060708090a0b0c0d0e0f"
	operatorToken = "operator"
	readyTimeout  = 20 * time.Second // for a fleet to start, or to recover
	pollInterval  = 10 * time.Millisecond
)

// fleetConfig configures a fleet.
type fleetConfig struct {
	entries      int
	workers      int      // three to a rack
	customers    []string // tokens are their names
	overlay      string   // on top of the test configuration
	onEvent      func(f *fleet, worker int, event upstream.TaskEvent, t upstream.Task)
	errorRate    float64
	relayEntries bool // put a relay, which tests can cut, in front of each entry
	relayAgents  bool // put a relay in front of each agent
	notice       time.Duration
	drain        time.Duration // limit; 20 s if not set
	limits       string        // section of the settings
	traceCalls   int           // number of scheduler calls that each entry records
}

// fleet is a system whose entries and agents are separate processes. The platform
// and the upstreams are stand-ins in the test process, so that tests can inject
// faults and read what was executed.
type fleet struct {
	t           testing.TB
	cfg         fleetConfig
	dir         string
	platform    *platform.Standin
	web         *webServer // serves the platform stand-in
	entries     []*child
	agents      []*child
	upstreams   []*upstreamStandin
	entryRelays []*relay // in front of the entries, with relayEntries
	agentRelays []*relay // in front of the agents, with relayAgents

	mu      sync.Mutex
	replies map[string][]reply // by customer, service and key
}

// child is the process of an entry or an agent.
type child struct {
	t       testing.TB
	role    string
	file    string // path of the settings
	log     string
	http    netip.AddrPort
	control netip.AddrPort
	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
}

var lastLoopbackHost atomic.Uint32

// newAddress returns an address on a loopback host that nothing else uses, so that
// it can be bound again after a restart. The kernel chooses the port.
func newAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	l := newListener(t)
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// newListener listens on a loopback host that nothing else uses.
func newListener(t testing.TB) net.Listener {
	t.Helper()
	n := lastLoopbackHost.Add(1)
	host := netip.AddrFrom4([4]byte{127, byte(10 + os.Getpid()%200), byte(n >> 8), byte(n)})
	l, err := net.Listen("tcp", netip.AddrPortFrom(host, 0).String())
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func startFleet(t testing.TB, cfg fleetConfig) *fleet {
	t.Helper()
	f := &fleet{t: t, cfg: cfg, dir: t.TempDir(), platform: platform.NewStandin(), replies: make(map[string][]reply)}
	t.Cleanup(f.stopAll)
	web, err := serveStandin(netip.MustParseAddrPort("127.0.0.1:0"), f.platform.Handler())
	if err != nil {
		t.Fatal(err)
	}
	f.web = web
	f.publish(cfg.overlay, 0)
	for i := range cfg.entries {
		f.addEntry(i)
	}
	for i, e := range f.entries {
		f.writeSettings(e, f.entrySettings(i), f.entryAddresses())
	}
	for i := range cfg.workers {
		f.addAgent(i)
	}
	for _, e := range f.entries {
		e.start()
	}
	for i, a := range f.agents {
		a.start()
		f.upstreams = append(f.upstreams, f.newUpstream(i))
	}
	f.waitReady()
	return f
}

// publish publishes the test configuration with an overlay, as the successor of
// version from.
func (f *fleet) publish(overlay string, from uint64) {
	f.t.Helper()
	row := platform.ConfigRow{
		Author:  "test",
		Time:    time.Now(),
		Base:    testConfig(f.cfg.workers, f.cfg.customers),
		Overlay: overlay,
	}
	if _, err := platform.Publish(context.Background(), f.platform.Store(), from, row); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) newChild(role, name string) *child {
	return &child{
		t:       f.t,
		role:    role,
		file:    filepath.Join(f.dir, name+".ini"),
		log:     filepath.Join(f.dir, name+".log"),
		http:    newAddress(f.t),
		control: newAddress(f.t),
	}
}

func (f *fleet) addEntry(i int) {
	c := f.newChild("entry", fmt.Sprintf("entry-%d", i))
	if f.cfg.relayEntries {
		f.entryRelays = append(f.entryRelays, newRelay(f.t, c.control))
	}
	f.entries = append(f.entries, c)
}

func (f *fleet) entrySettings(i int) string {
	return fmt.Sprintf("name = entry-%d\nzone = zone-%d\nadvertise = %s", i, i, f.entryAddresses()[i])
}

// entryAddresses returns the addresses at which the entries are reached: their own
// or those of their relays.
func (f *fleet) entryAddresses() []string {
	var addrs []string
	for i, e := range f.entries {
		if f.cfg.relayEntries {
			addrs = append(addrs, f.entryRelays[i].addr.String())
			continue
		}
		addrs = append(addrs, e.control.String())
	}
	return addrs
}

func (f *fleet) addAgent(i int) {
	c := f.newChild("agent", workerName(i))
	f.agents = append(f.agents, c)
	advertise := c.control
	if f.cfg.relayAgents {
		f.agentRelays = append(f.agentRelays, newRelay(f.t, c.control))
		advertise = f.agentRelays[i].addr
	}
	f.writeSettings(c, fmt.Sprintf("name = %s\nzone = zone-%d\nrack = rack-%d\nadvertise = %s", workerName(i), i/3, i/3, advertise), f.entryAddresses())
}

func workerName(i int) string { return fmt.Sprintf("worker-%d", i) }

func (f *fleet) writeSettings(c *child, process string, entries []string) {
	var b strings.Builder
	fmt.Fprintf(&b, "[process]\n%s\nhttp = %s\ncontrol = %s\n", process, c.http, c.control)
	if c.role == "entry" {
		fmt.Fprintf(&b, "[trace]\ncalls = %d\n", f.cfg.traceCalls)
	}
	if len(entries) > 0 {
		fmt.Fprintf(&b, "[peers]\nentries = %s\n", strings.Join(entries, ", "))
	}
	fmt.Fprintf(&b, "[store]\naddress = %s\n[security]\nkey = %s\n[drain]\nnotice = %s\nlimit = %s\n", f.web.addr, testKeyHex, f.cfg.notice, cmp.Or(f.cfg.drain, 20*time.Second))
	b.WriteString(f.cfg.limits)
	if err := os.WriteFile(c.file, []byte(b.String()), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) newUpstream(i int) *upstreamStandin {
	f.t.Helper()
	standin := upstream.NewStandin(upstream.StandinConfig{
		DefaultRunTime: 5 * time.Millisecond,
		ErrorRate:      f.cfg.errorRate,
		Seed:           uint64(i),
		OnEvent: func(event upstream.TaskEvent, t upstream.Task) {
			if f.cfg.onEvent != nil {
				f.cfg.onEvent(f, i, event, t)
			}
		},
	})
	web, err := serveStandin(netip.MustParseAddrPort("127.0.0.1:0"), standin.Handler())
	if err != nil {
		f.t.Fatal(err)
	}
	return &upstreamStandin{standin: standin, web: web, announcer: f.announce(i, web.addr)}
}

func (f *fleet) announce(i int, addr netip.AddrPort) *upstream.Announcer {
	return upstream.StartAnnouncer(f.agents[i].http, upstream.Announcement{
		Incarnation:  newIncarnation(),
		Address:      addr,
		Slots:        8,
		Accelerators: 8,
		Connections:  64,
		Services:     testServices,
	})
}

// start starts the child's process.
func (c *child) start() {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	log, err := os.OpenFile(c.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(os.Args[0], c.role, "-settings", c.file)
	cmd.Env = append(os.Environ(), runAsProgramEnv+"=1")
	cmd.Stdout, cmd.Stderr = log, log
	// The child must not outlive a test run that is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.cmd = cmd
	exited := make(chan struct{})
	c.exited = exited
	go func() {
		defer close(exited)
		_ = cmd.Wait()
	}()
}

// signal sends a signal to the child's process.
func (c *child) signal(s syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd != nil {
		_ = c.cmd.Process.Signal(s)
	}
}

// kill kills the child's process and waits for its end.
func (c *child) kill() {
	c.signal(syscall.SIGKILL)
	c.wait()
}

// wait waits until the child's process has ended and returns its exit status.
func (c *child) wait() int {
	c.mu.Lock()
	exited, cmd := c.exited, c.cmd
	c.mu.Unlock()
	if cmd == nil {
		return 0
	}
	<-exited
	return cmd.ProcessState.ExitCode()
}

func (f *fleet) stopAll() {
	for _, c := range append(append([]*child{}, f.agents...), f.entries...) {
		c.kill()
	}
	for _, u := range f.upstreams {
		u.kill()
	}
	for _, r := range append(append([]*relay{}, f.entryRelays...), f.agentRelays...) {
		r.close()
	}
	if f.web != nil {
		_ = f.web.server.Close()
	}
	if f.t.Failed() {
		f.dumpLogs()
	}
}

const logTailBytes = 6000 // bytes of each log shown after a failure

func (f *fleet) dumpLogs() {
	for _, c := range append(append([]*child{}, f.entries...), f.agents...) {
		data, _ := os.ReadFile(c.log)
		if len(data) > logTailBytes {
			data = data[len(data)-logTailBytes:]
		}
		f.t.Logf("log of %s:\n%s", filepath.Base(c.file), data)
	}
}

// status returns an entry's status, or false if it does not answer.
func (f *fleet) status(entry int) (caller.Status, bool) {
	var s caller.Status
	err := callEntry(&config.Settings{Operator: config.OperatorSettings{Entry: f.entries[entry].http, Token: operatorToken}}, "GET", "/v1/status", &s)
	return s, err == nil
}

// waitFor polls until the condition holds and fails the test after the limit.
func (f *fleet) waitFor(name string, limit time.Duration, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	f.t.Fatalf("timed out after %s waiting for: %s", limit, name)
}

// waitReady waits until every entry can use every worker.
func (f *fleet) waitReady() {
	f.t.Helper()
	f.waitFor("the fleet is ready", readyTimeout, func() bool {
		for i := range f.entries {
			if !f.canUse(i, len(f.agents)) {
				return false
			}
		}
		return true
	})
}

// canUse reports whether an entry is ready, can use exactly n workers that apply
// its version of the plan, and has a home for every guarantee.
func (f *fleet) canUse(entry, n int) bool {
	s, ok := f.status(entry)
	if !ok || !s.Ready {
		return false
	}
	usable := 0
	for _, w := range s.Workers {
		if w.Usable && w.PlanVersion == s.PlanVersion {
			usable++
		}
	}
	return usable == n && len(s.Missing) == 0
}

// request sends a request to an entry and records the reply for verify.
func (f *fleet) request(entry int, customer, service, key, body string) reply {
	r := send(f.entries[entry].http, customer, service, key, body)
	f.record(customer, service, key, r)
	return r
}

func (f *fleet) record(customer, service, key string, r reply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := customer + "/" + service + "/" + key
	f.replies[id] = append(f.replies[id], r)
}

// executions returns the executions of all upstreams.
func (f *fleet) executions() []upstream.Execution {
	var all []upstream.Execution
	for _, u := range f.upstreams {
		all = append(all, u.standin.Executions()...)
	}
	return all
}

// verify compares the recorded replies with what the upstreams executed. Requests
// that were reported as not run must not have run, and work that may not be
// repeated must have run at most once.
func (f *fleet) verify() {
	f.t.Helper()
	started := make(map[string]int)
	for _, x := range f.executions() {
		if !x.Resumed && x.Rank == 0 {
			started[x.Customer+"/"+x.Service+"/"+x.Key]++
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, replies := range f.replies {
		n := started[id]
		if n > 1 && strings.Contains(id, "/"+onceService+"/") {
			f.t.Errorf("%s ran %d times", id, n)
		}
		if n > 0 && onlyNotRun(replies) {
			f.t.Errorf("%s ran, but every caller got not-run", id)
		}
		for _, r := range replies {
			if r.err == nil && r.outcome == "ran" && n == 0 {
				f.t.Errorf("%s did not run, but a caller got ran", id)
			}
		}
	}
}

// onlyNotRun reports whether every caller got the outcome not-run.
func onlyNotRun(replies []reply) bool {
	for _, r := range replies {
		if r.err != nil || r.outcome != "not-run" {
			return false
		}
	}
	return true
}

// answerDigest returns the digest of the request body that the stand-in reports in
// its answer.
func answerDigest(r reply) (digest string, ok bool) {
	var a struct {
		Received string `json:"received_sha256"`
	}
	if err := json.Unmarshal([]byte(r.body), &a); err != nil {
		return "", false
	}
	return a.Received, true
}

// onceService is the service of the test configuration whose tasks must not be
// repeated.
const onceService = "certificate"

// testConfig returns a base configuration with three workers to a rack. The
// customers' tokens are their names.
func testConfig(workers int, customers []string) string {
	var b strings.Builder
	b.WriteString("[deployment]\nname = test\n")
	for rack := 0; rack*3 < workers; rack++ {
		fmt.Fprintf(&b, "[rack rack-%d]\nzone = zone-%d\nworkers = %d\nslots = 8\naccelerators = 8\n", rack, rack, min(3, workers-rack*3))
	}
	for _, c := range customers {
		fmt.Fprintf(&b, "[customer %s]\ntoken_sha256 = %s\n", c, sha256Hex(c))
	}
	fmt.Fprintf(&b, "[operator op]\ntoken_sha256 = %s\n", sha256Hex(operatorToken))
	b.WriteString(`[shape small]
accelerators = 1
[shape whole]
accelerators = 8
slots = 8
[shape gang]
workers = 3
accelerators = 8
slots = 8
same_rack = true
[service certificate]
shape = small
repeatable = false
timeout = 20s
[service check]
shape = small
repeatable = true
timeout = 20s
[service long]
shape = small
repeatable = true
timeout = 1h
grace = 1s
[service train]
shape = gang
repeatable = true
timeout = 1h
grace = 1s
`)
	return b.String()
}

var testServices = []string{"certificate", "check", "long", "train", "big"}

func sha256Hex(s string) string { return hex.EncodeToString(sum256([]byte(s))) }

// runCommand runs a command of the program in the test process.
func runCommand(args ...string) (status int, stdout, stderr string) {
	var out, errs bytes.Buffer
	status = Main(Env{
		Args:   append([]string{"bramleythread"}, args...),
		Getenv: func(string) string { return "" },
		Stdout: &out,
		Stderr: &errs,
	})
	return status, out.String(), errs.String()
}

func readFile(t testing.TB, name string) string {
	t.Helper()
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
