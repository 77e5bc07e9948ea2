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

// asProgram makes the test binary run as the program itself.
const asProgram = "BRAMLEYTHREAD_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		os.Exit(Main(Env{Args: os.Args, Getenv: os.Getenv, Stdout: os.Stdout, Stderr: os.Stderr}))
	}
	os.Exit(m.Run())
}

const (
	testKeyHex    = "000102030405060708090a0b0c0d0e0f"
	operatorToken = "operator"
	settleLimit   = 20 * time.Second // for a fleet to come up
	pollInterval  = 10 * time.Millisecond
)

// fleetConfig sets up a fleet of processes.
type fleetConfig struct {
	entries   int
	workers   int      // three to a rack
	customers []string // tokens are their names
	overlay   string   // over the test configuration
	step      func(f *fleet, worker int, step upstream.TaskEvent, t upstream.Task)
	errors    float64
	ownRelays bool // entries are reached through relays that tests can cut
	members   bool // agents reach each other through such relays
	notice    time.Duration
	drain     time.Duration // limit; 20 s if not set
	calls     int           // of the entries' schedulers that are recorded
}

// fleet is a system of real processes for the roles. The platform and the
// upstreams are stand-ins inside the test process, where their faults are set
// and their records read.
type fleet struct {
	t         testing.TB
	cfg       fleetConfig
	dir       string
	platform  *platform.Standin
	web       *webServer
	entries   []*child
	agents    []*child
	upstreams []*upstreamProcess
	relays    []*relay // of the entries
	links     []*relay // of the agents

	mu      sync.Mutex
	replies map[string][]reply // by customer, service and key
}

// child is one process of a role.
type child struct {
	t       testing.TB
	role    string
	file    string // settings
	log     string
	http    netip.AddrPort
	control netip.AddrPort
	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
}

var lastHost atomic.Uint32

// newAddress returns an address on a loopback host of its own, with a port
// from the kernel, so that it can be bound again after a restart.
func newAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	l := newListener(t)
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// newListener listens on a loopback host of its own.
func newListener(t testing.TB) net.Listener {
	t.Helper()
	n := lastHost.Add(1)
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
	web, err := serveHTTP(netip.MustParseAddrPort("127.0.0.1:0"), f.platform.Handler())
	if err != nil {
		t.Fatal(err)
	}
	f.web = web
	f.publish(cfg.overlay, 0)
	for i := range cfg.entries {
		f.addEntry(i)
	}
	for i, e := range f.entries {
		f.settings(e, f.entrySettings(i), f.controls())
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

// publish puts the test configuration with an overlay in force.
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
	if f.cfg.ownRelays {
		f.relays = append(f.relays, newRelay(f.t, c.control))
	}
	f.entries = append(f.entries, c)
}

func (f *fleet) entrySettings(i int) string {
	return fmt.Sprintf("name = entry-%d\nzone = zone-%d\nadvertise = %s", i, i, f.controls()[i])
}

// controls returns the addresses at which the entries are reached.
func (f *fleet) controls() []string {
	var addrs []string
	for i, e := range f.entries {
		if f.cfg.ownRelays {
			addrs = append(addrs, f.relays[i].addr.String())
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
	if f.cfg.members {
		f.links = append(f.links, newRelay(f.t, c.control))
		advertise = f.links[i].addr
	}
	f.settings(c, fmt.Sprintf("name = %s\nzone = zone-%d\nrack = rack-%d\nadvertise = %s", workerName(i), i/3, i/3, advertise), f.controls())
}

func workerName(i int) string { return fmt.Sprintf("worker-%d", i) }

func (f *fleet) settings(c *child, process string, entries []string) {
	var b strings.Builder
	fmt.Fprintf(&b, "[process]\n%s\nhttp = %s\ncontrol = %s\n", process, c.http, c.control)
	if c.role == "entry" {
		fmt.Fprintf(&b, "[trace]\ncalls = %d\n", f.cfg.calls)
	}
	if len(entries) > 0 {
		fmt.Fprintf(&b, "[peers]\nentries = %s\n", strings.Join(entries, ", "))
	}
	fmt.Fprintf(&b, "[store]\naddress = %s\n[security]\nkey = %s\n[drain]\nnotice = %s\nlimit = %s\n", f.web.addr, testKeyHex, f.cfg.notice, cmp.Or(f.cfg.drain, 20*time.Second))
	if err := os.WriteFile(c.file, []byte(b.String()), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) newUpstream(i int) *upstreamProcess {
	f.t.Helper()
	standin := upstream.NewStandin(upstream.StandinConfig{
		DefaultRunTime: 5 * time.Millisecond,
		ErrorRate:      f.cfg.errors,
		Seed:           uint64(i),
		OnEvent: func(step upstream.TaskEvent, t upstream.Task) {
			if f.cfg.step != nil {
				f.cfg.step(f, i, step, t)
			}
		},
	})
	web, err := serveHTTP(netip.MustParseAddrPort("127.0.0.1:0"), standin.Handler())
	if err != nil {
		f.t.Fatal(err)
	}
	return &upstreamProcess{standin: standin, web: web, announcer: f.announce(i, web.addr)}
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

// start runs the child's process.
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
	cmd.Env = append(os.Environ(), asProgram+"=1")
	cmd.Stdout, cmd.Stderr = log, log
	// The child must not outlive a test run that is cut short.
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

// kill ends the child's process at once.
func (c *child) kill() {
	c.signal(syscall.SIGKILL)
	c.wait()
}

// wait waits for the end of the child's process and returns its exit status.
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
	for _, r := range append(append([]*relay{}, f.relays...), f.links...) {
		r.close()
	}
	if f.web != nil {
		_ = f.web.server.Close()
	}
	if f.t.Failed() {
		f.dumpLogs()
	}
}

const logTail = 6000 // bytes of each log shown after a failure

func (f *fleet) dumpLogs() {
	for _, c := range append(append([]*child{}, f.entries...), f.agents...) {
		data, _ := os.ReadFile(c.log)
		if len(data) > logTail {
			data = data[len(data)-logTail:]
		}
		f.t.Logf("log of %s:\n%s", filepath.Base(c.file), data)
	}
}

// status returns an entry's view, or false if it does not answer.
func (f *fleet) status(entry int) (caller.Status, bool) {
	var s caller.Status
	err := askEntry(&config.Settings{Operator: config.OperatorSettings{Entry: f.entries[entry].http, Token: operatorToken}}, "GET", "/v1/status", &s)
	return s, err == nil
}

// waitFor polls until the condition holds.
func (f *fleet) waitFor(what string, limit time.Duration, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	f.t.Fatalf("not within %s: %s", limit, what)
}

// waitReady waits until every entry can use every worker.
func (f *fleet) waitReady() {
	f.t.Helper()
	f.waitFor("the fleet is ready", settleLimit, func() bool {
		for i := range f.entries {
			if !f.sees(i, len(f.agents)) {
				return false
			}
		}
		return true
	})
}

// sees reports whether an entry is ready and can use n workers.
func (f *fleet) sees(entry, n int) bool {
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

// ask sends a request through an entry and records the reply for verify.
func (f *fleet) ask(entry int, customer, service, key, body string) reply {
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

// executions returns what all upstreams have started, those of upstreams that
// a test has replaced included.
func (f *fleet) executions() []upstream.Execution {
	var all []upstream.Execution
	for _, u := range f.upstreams {
		all = append(all, u.standin.Executions()...)
	}
	return all
}

// verify holds the recorded replies against what the upstreams executed: what
// was said not to have run did not run, and what may not be repeated ran once.
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
			f.t.Errorf("%s ran, though every caller was told not-run", id)
		}
		for _, r := range replies {
			if r.err == nil && r.outcome == "ran" && n == 0 {
				f.t.Errorf("%s did not run, though a caller was told ran", id)
			}
		}
	}
}

// onlyNotRun reports whether every caller that asked was told not-run.
func onlyNotRun(replies []reply) bool {
	for _, r := range replies {
		if r.err != nil || r.outcome != "not-run" {
			return false
		}
	}
	return true
}

// answerOf decodes the stand-in's answer.
func answerOf(r reply) (digest string, ok bool) {
	var a struct {
		Received string `json:"received_sha256"`
	}
	if err := json.Unmarshal([]byte(r.body), &a); err != nil {
		return "", false
	}
	return a.Received, true
}

// onceService is the service of the test configuration that may not be
// repeated.
const onceService = "certificate"

// testConfig is a base configuration for n workers, three to a rack. Tokens are
// the customers' names.
func testConfig(workers int, customers []string) string {
	var b strings.Builder
	b.WriteString("[deployment]\nname = test\n")
	for rack := 0; rack*3 < workers; rack++ {
		fmt.Fprintf(&b, "[rack rack-%d]\nzone = zone-%d\nworkers = %d\nslots = 8\naccelerators = 8\n", rack, rack, min(3, workers-rack*3))
	}
	for _, c := range customers {
		fmt.Fprintf(&b, "[customer %s]\ntoken_sha256 = %s\n", c, digestOf(c))
	}
	fmt.Fprintf(&b, "[operator op]\ntoken_sha256 = %s\n", digestOf(operatorToken))
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

func digestOf(s string) string { return hex.EncodeToString(sum256([]byte(s))) }

// runCommand runs a command of the program inside the test process.
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
