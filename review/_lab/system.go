package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// program is what the build of the deploy file makes.
const program = "target/bramleythread"

// settingsText is the settings file of a process, with the bounds of the site
// puhke-tallinn.
const settingsText = `NodeName = %q
Role = %q
Ip = %q
Zone = %q
Region = "harju"
PortRange = [%d,%d]
Bootstrap = true
HeartbeatMs = 1500
Orders = "call"
app = %q
[Listen]
Front = "%s"
Ready = "%s"
Control = "%s"
[Limits]
Cores = 1
MemoryMb = 284
[Bounds]
ContactMs = 3000
AckMs = 4000
DrainMs = 2000
GraceS = 6
ConfigApplyMs = 2000
StrictRevoke = true
RevokeMs = 5000
MaxHoldMs = 6000
StopGraceMs = 400
GangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
FarX = 3
EnforceFencing = true
LeaseMs = 3000
[platform]
Address = "%s"
form = "table"
WritesPerS = 800
ReadsPerS = 2000
`

// process is an entry or an agent.
type process struct {
	role, node         string
	front, ready, ctrl string
	settings           string
	door               *door
	cmd                *exec.Cmd
}

// system is a small deployment: entries, workers and an agent beside each worker.
type system struct {
	rec     *record
	dir     string
	store   *store
	entries []*process
	agents  []*process
	workers []*worker
}

const (
	host    = "nony24.example"
	service = "podcheck"
	tenants = 2
)

// kinds are the kinds of the workers, which are their first labels.
var kinds = []string{"a", "a", "b"}

// queues are the routes of the deployment, by priority.
var queues = []string{"/uv/", "/scan/", "/cert/"}

func key(tenant int) string { return fmt.Sprintf("key-%d", tenant) }

// configure writes the desired state.
func (s *system) configure() {
	var routes, list []map[string]any
	for i, prefix := range queues {
		routes = append(routes, map[string]any{
			"Name": "r" + fmt.Sprint(i), "Host": host, "PathPrefix": prefix, "Service": service, "Priority": i, "Attempts": 4, "Stretch": 3.0, "TargetLatencyMs": 1000,
		})
	}
	for i := range tenants {
		list = append(list, map[string]any{"Name": fmt.Sprint("tenant-", i), "ApiKeys": []string{key(i)}, "Guaranteed": map[string]int{"Gpu": 2}})
	}
	value, _ := json.Marshal(map[string]any{
		"Version": 1, "Routes": routes, "Services": []map[string]any{{"Name": service, "EnforcesCapacity": false}},
		"Limits": map[string]any{"MaxBodyBytes": 262144}, "Tenants": list,
	})
	s.store.apply(&transaction{Puts: []row{{Table: "op", Key: "config", Value: base64.StdEncoding.EncodeToString(value)}}})
}

// newSystem starts the stand-ins and the processes, and waits until jobs run.
func newSystem(rec *record, entries, workers, gpus int) (*system, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &system{rec: rec, dir: dir, store: newStore(rec)}
	s.configure()
	for i := range workers {
		w := &worker{rec: rec, id: fmt.Sprintf("i-%016x", 0x7f3a91c2+i), service: service, zone: "harju-ulemiste",
			labels: []string{kinds[i%len(kinds)], fmt.Sprint("r1-", i/3+1)}, addr: "127.0.0.1:0", gpus: gpus}
		p, err := s.addProcess("agent", fmt.Sprint("side-", i+1), w)
		if err != nil {
			return s, err
		}
		w.control = p.ctrl
		s.agents, s.workers = append(s.agents, p), append(s.workers, w)
	}
	for i := range entries {
		p, err := s.addProcess("entry", fmt.Sprint("front-", i+1), nil)
		if err != nil {
			return s, err
		}
		s.entries = append(s.entries, p)
	}
	for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
		if err := s.startProcess(p); err != nil {
			return s, err
		}
	}
	return s, s.waitReady()
}

// addProcess writes the settings of a process on a loopback address of its own.
func (s *system) addProcess(role, node string, w *worker) (*process, error) {
	ip, err := freeIP()
	if err != nil {
		return nil, err
	}
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	p := &process{role: role, node: node, front: at(8521), ready: at(8523), ctrl: at(8526), settings: filepath.Join(s.dir, node+".toml")}
	if p.door, err = s.store.open(node); err != nil {
		return nil, err
	}
	app := ""
	if w != nil {
		l, err := net.Listen("tcp", w.addr) // reserves a port
		if err != nil {
			return nil, err
		}
		w.addr = l.Addr().String()
		_ = l.Close()
		app = w.addr
	}
	text := fmt.Sprintf(settingsText, node, role, ip, "harju-ulemiste", 7000, 7015, app, p.front, p.ready, p.ctrl, p.door.Addr())
	return p, os.WriteFile(p.settings, []byte(text), 0o600)
}

// freeIP returns a loopback address on which the ports of a process are free.
func freeIP() (string, error) {
	for n := range 1000 {
		ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%64, n/200, 10+n%200)
		if !used[ip] && portsFree(ip) {
			used[ip] = true
			return ip, nil
		}
	}
	return "", fmt.Errorf("no free loopback address")
}

var used = make(map[string]bool)

func portsFree(ip string) bool {
	for _, port := range []int{7000, 7001, 8521, 8523, 8526} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// startProcess starts a process with the command of the deploy file.
func (s *system) startProcess(p *process) error {
	log, err := os.OpenFile(filepath.Join(s.dir, p.node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(program, p.role, "-boot")
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BRAMLEYTHREAD_BOOT=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	s.rec.add("%s: started", p.node)
	return nil
}

// waitReady waits until all entries are ready and a job runs on every worker.
func (s *system) waitReady() error {
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, p := range s.entries {
			if resp, err := http.Get("http://" + p.ready + "/-/readiness"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					n++
				}
			}
		}
		if n == len(s.entries) {
			break
		}
		if time.Now().After(end) {
			return fmt.Errorf("the entries are not ready")
		}
	}
	for _, w := range s.workers {
		if err := w.begin(); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	id := newID()
	job := jobBody("200:warm-up", map[string]any{"Count": len(s.workers), "Cpu": 500, "MemMb": 100, "Gpu": 1, "AntiAffinity": 1, "EstimatedMs": 200})
	if status, _ := s.call(0, "POST", queues[0]+id, job, 3*time.Second); status != http.StatusOK {
		return fmt.Errorf("the warm-up job is answered by %d", status)
	}
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if status, body := s.call(0, "GET", queues[0]+id, nil, 3*time.Second); status == http.StatusOK && bytes.Contains(body, []byte("completed")) {
			s.rec.add("the warm-up job has run")
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("the warm-up job does not end")
		}
	}
}

// holder returns the entry that holds the lease of the scheduler.
func (s *system) holder() *process {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	for k, v := range s.store.rows {
		if k.table != "scheduler" {
			continue
		}
		value, _ := base64.StdEncoding.DecodeString(v.Value)
		for _, p := range s.entries {
			if bytes.Contains(value, []byte(p.node)) {
				return p
			}
		}
	}
	return nil
}

var (
	idMu   sync.Mutex
	lastID = uint64(time.Now().UnixNano())
)

// newID returns a job's id.
func newID() string {
	idMu.Lock()
	defer idMu.Unlock()
	lastID = lastID*6364136223846793005 + 1442695040888963407
	return fmt.Sprintf("%016x", lastID)
}

func jobBody(spec string, steps ...map[string]any) []byte {
	body, _ := json.Marshal(map[string]any{"Spec": spec, "Steps": steps})
	return body
}

// call makes a client's call to an entry. status is 0 if there was no answer.
func (s *system) call(entry int, method, path string, body []byte, budget time.Duration) (status int, answer []byte) {
	r, err := http.NewRequest(method, "http://"+s.entries[entry%len(s.entries)].front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Bramleythread-Credential", key(0))
	r.Header.Set("Bramleythread-Deadline-Ms", fmt.Sprint(budget.Milliseconds()))
	c := http.Client{Timeout: budget, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(r)
	if err != nil {
		s.rec.add("client: %s %s at %s: no answer", method, path, s.entries[entry%len(s.entries)].node)
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, _ = io.ReadAll(resp.Body)
	s.rec.add("client: %s %s at %s: %d %s", method, path, s.entries[entry%len(s.entries)].node, resp.StatusCode, bytes.TrimSpace(answer))
	return resp.StatusCode, answer
}

// allRuns returns the runs of all workers.
func (s *system) allRuns() []run {
	var all []run
	for _, w := range s.workers {
		all = append(all, w.runs()...)
	}
	return all
}

// close ends all processes. With REVIEW_KEEP set, their logs are kept.
func (s *system) close() {
	for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
			_ = p.cmd.Wait()
		}
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}
