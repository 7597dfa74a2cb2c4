//go:build review

// Package kit starts a small deployment for a case: lagoonmux daemons as processes of their
// own, with the command of the deploy file, and stand-ins of the platform, runners and clients
// in this process. Everything listens on loopback addresses.
package kit

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/loopback"
	"github.com/lagoonmux/lagoonmux/internal/standin/site"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NoRun  = 2
)

// Heartbeat is the interval at which a runner writes its entry; an entry is removed after
// Silence without one.
const (
	Heartbeat = 1200 * time.Millisecond
	Silence   = 3 * Heartbeat
)

// Key is the API key of the only tenant.
const Key = "i9n73hh2b9wu3fexd9dn"

// Host is the host of all routes.
const Host = "ficu95.example"

// Deployment is a small deployment on loopback addresses.
type Deployment struct {
	Store   *site.Store
	Cloud   *site.Cloud
	Daemons []*Daemon
	Trouble bool // false with TROUBLE=0
	// ProxyStore lets daemons reach the store through proxies, for FirstEra and StoreAway.
	ProxyStore bool
	// FirstEra is the store's era before its first restore. All its answers bear the era.
	FirstEra int
	// StoreAway leaves calls to the store without an answer: their connections are reset.
	StoreAway atomic.Bool
	// Calls are the calls to the platform that are the duty of one daemon at a time, in order.
	Calls []Call

	dir    string
	start  time.Time
	mu     sync.Mutex
	record *os.File
}

// Call is a call to the platform with a fencing token, and the status of its answer.
type Call struct {
	Subject, Holder, Token string
	Status                 int
}

// Daemon is one lagoonmux process.
type Daemon struct {
	Name      string
	Front     string // address for clients
	Ready     string // address for readiness checks
	Endpoint  *site.Endpoint
	cmd       *exec.Cmd
	settings  map[string]any
	exited    chan struct{}
	deploy    *Deployment
	starts    int
	stoppedAt time.Time
}

// New prepares a deployment without daemons. It writes the record to record.txt in the
// current folder. On failure it ends the process with NoRun.
func New() *Deployment {
	runtime.LockOSThread() // daemons end with the thread that started them
	d := &Deployment{Store: site.NewStore(), Trouble: os.Getenv("TROUBLE") != "0", FirstEra: 1, start: time.Now()}
	var err error
	if d.record, err = os.Create("record.txt"); err != nil {
		fail(err)
	}
	if d.dir, err = os.MkdirTemp("", "review"); err != nil {
		fail(err)
	}
	time.AfterFunc(110*time.Second, func() {
		_ = os.RemoveAll(d.dir)
		fail(errors.New("took longer than 110 s"))
	})
	if d.Cloud, err = site.StartCloud(); err != nil {
		fail(err)
	}
	d.Log("trouble: %v", d.Trouble)
	return d
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	os.Exit(NoRun)
}

// Log writes a line with the time since the start to the record.
func (d *Deployment) Log(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%8.3f  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

// Since returns the seconds from the start to t.
func (d *Deployment) Since(t time.Time) float64 { return t.Sub(d.start).Seconds() }

// Exit ends all daemons and the case. broken tells whether the rule was broken.
func (d *Deployment) Exit(broken bool, format string, args ...any) {
	verdict := fmt.Sprintf(format, args...)
	for _, p := range d.Daemons {
		p.Kill()
	}
	code := Held
	if broken {
		code = Broken
	}
	d.Log("verdict: broken=%v: %s", broken, verdict)
	fmt.Printf("broken=%v: %s\n", broken, verdict)
	_ = d.record.Close()
	_ = os.RemoveAll(d.dir)
	os.Exit(code)
}

// Fail ends all daemons and the case, which could not run.
func (d *Deployment) Fail(err error) {
	for _, p := range d.Daemons {
		p.Kill()
	}
	d.Log("could not run: %v", err)
	_ = os.RemoveAll(d.dir)
	fail(err)
}

// Address returns a free loopback address.
func (d *Deployment) Address() string {
	a, err := loopback.Address()
	if err != nil {
		d.Fail(err)
	}
	return a
}

// port returns a free port of 127.0.0.1, at which daemons serve metrics.
func (d *Deployment) port() int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.Fail(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// cloudProxy returns the address of a proxy of the platform's API that records the calls.
func (d *Deployment) cloudProxy() string {
	return d.proxy(d.Cloud.Address, func() bool { return false }, func(r *http.Response) {
		c := Call{r.Request.URL.Path, r.Request.Header.Get("X-Duty-Holder"), r.Request.Header.Get("X-Fence-Token"), r.StatusCode}
		d.Log("%s calls %s with token %s: %d", c.Holder, c.Subject, c.Token, c.Status)
		d.mu.Lock()
		d.Calls = append(d.Calls, c)
		d.mu.Unlock()
	})
}

// storeProxy returns the address of a proxy of the store that counts eras from FirstEra; the
// stand-in's first one is 1.
func (d *Deployment) storeProxy(address string) string {
	if !d.ProxyStore {
		return address
	}
	return d.proxy(address, d.StoreAway.Load, func(r *http.Response) {
		if era, err := strconv.Atoi(r.Header.Get("Store-Era")); err == nil {
			r.Header.Set("Store-Era", strconv.Itoa(era-1+d.FirstEra))
		}
	})
}

// proxy starts a proxy of a server; seen gets each response before it is passed on. While away
// is true, connections with a call are reset, also those of calls that were under way.
func (d *Deployment) proxy(address string, away func() bool, seen func(r *http.Response)) string {
	front := d.Address()
	l, err := net.Listen("tcp", front)
	if err != nil {
		d.Fail(err)
	}
	p := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
	p.ModifyResponse = func(r *http.Response) error {
		if away() {
			return errors.New("away")
		}
		seen(r)
		return nil
	}
	p.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) } // there was no answer
	p.ErrorLog = log.New(io.Discard, "", 0)
	server := &http.Server{ErrorLog: p.ErrorLog, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if away() {
			panic(http.ErrAbortHandler)
		}
		p.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(l) }()
	return front
}

// Configure writes the configuration, as the operator does.
func (d *Deployment) Configure(config map[string]any) { d.Store.PutJSON("op", "config", config) }

// Route returns a route of a configuration.
func Route(name, prefix, kind, service string, timeoutMs, attempts int, resumable bool) map[string]any {
	r := map[string]any{"name": name, "host": Host, "prefix": prefix, "kind": kind, "timeoutMs": timeoutMs, "sloMs": 400, "priority": 1,
		"service": service, "maxAttempts": attempts, "authExempt": false, "sticky": kind == "streaming", "resumable": resumable}
	if kind == "streaming" {
		r["gapSloMs"] = 200
	}
	return r
}

// Config returns a configuration with the routes, an engine service "engines" and a plain
// service "desk".
func Config(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "engines", "healthPath": "/health", "maxConns": 290, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 48, "kvCapacity": 615132, "models": []map[string]any{{"name": "m"}}}},
			{"name": "desk", "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "hule930", "apiKeys": []string{Key}, "priority": 1, "unit": "token_count", "plainTokens": 200, "ratePerS": 482244, "burst": 482244}},
	}
}

// StartDaemons starts n daemons and waits until all are ready and know all runners.
func (d *Deployment) StartDaemons(n int) {
	var seeds []string
	cloud := d.cloudProxy()
	for i := range n {
		endpoint, err := d.Store.Listen()
		if err != nil {
			d.Fail(err)
		}
		p := &Daemon{Name: fmt.Sprintf("front-sierra-%c-%d", 'a'+i%3, 1+i/3), Front: d.Address(), Ready: d.Address(), Endpoint: endpoint, deploy: d}
		control := d.Address()
		if len(seeds) < 3 {
			seeds = append(seeds, control)
		}
		zone := fmt.Sprintf("sierra-%c", 'a'+i%3)
		p.settings = map[string]any{
			"nodeName": p.Name, "role": "daemon", "machineClass": "front", "serves": []string{"front", "control"}, "ip": "127.0.0.1",
			"zone": zone, "region": "sierra", "zones": map[string]string{"sierra-a": "sierra", "sierra-b": "sierra", "sierra-c": "sierra"},
			"listen":        map[string]any{"front": p.Front, "readyAddr": p.Ready, "control": control},
			"internalPorts": []int{d.port(), d.port()}, "bootstrap": true, "lossCounts": false,
			"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4200, "linkMbps": 1000.0, "diskMb": 0},
			"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
			"bounds": map[string]any{"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
				"lossSlackMs": 200, "configApplyMs": 2000, "revertSlackMs": 250, "maxStretchMs": 5000, "failClosed": false, "revokeMs": 5000,
				"retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 52, "quotaWindowS": 8, "quotaExcess": 0.1, "quotaSlack": 72000,
				"requireFence": true, "leaseMs": 3000, "thawMs": 300, "usageWindowS": 5, "usageTolerance": 0.05, "usageLateS": 10, "recoveryS": 12,
				"passMs": 120, "reuseWindowS": 7.3},
			"platform": map[string]any{"address": d.storeProxy(endpoint.Address), "form": "table", "writesPerS": 400, "readsPerS": 2000, "txMs": 3.0},
			"cloud":    map[string]any{"address": cloud, "ratePerS": 50.0, "duties": []string{"usage_report", "scaling"}, "dutyPerS": 50.0},
		}
		d.Daemons = append(d.Daemons, p)
	}
	for _, p := range d.Daemons {
		p.settings["seeds"] = seeds
		p.Start()
	}
	for _, p := range d.Daemons {
		p.WaitReady()
	}
	time.Sleep(2 * time.Second) // all daemons know each other and all entries
	d.Log("all daemons are ready")
}

// Start starts the daemon's process by the command of the deploy file. Its output goes to a
// file in the temporary folder, or to the folder that LOGS names.
func (p *Daemon) Start() {
	d := p.deploy
	p.starts++
	text, err := json.Marshal(p.settings)
	if err != nil {
		d.Fail(err)
	}
	file := filepath.Join(d.dir, p.Name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		d.Fail(err)
	}
	logs := d.dir
	if dir := os.Getenv("LOGS"); dir != "" {
		logs = dir
	}
	out, err := os.OpenFile(filepath.Join(logs, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		d.Fail(err)
	}
	p.cmd = exec.Command(os.Getenv("ROOT")+"/target/lagoonmux", "platform")
	p.cmd.Dir = os.Getenv("ROOT")
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "LANG=C", "LAGOONMUX_NODE_FILE=" + file}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // ends with this process
	if err := p.cmd.Start(); err != nil {
		d.Fail(err)
	}
	d.Log("%s started", p.Name)
	exited := make(chan struct{})
	p.exited = exited
	cmd := p.cmd
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		d.Log("%s ended: %v", p.Name, err)
		close(exited)
	}()
}

// Signal sends a signal to the daemon's process.
func (p *Daemon) Signal(s syscall.Signal) {
	p.deploy.Log("%s gets %v", p.Name, s)
	_ = p.cmd.Process.Signal(s)
}

// Exited is closed once the present process has ended.
func (p *Daemon) Exited() <-chan struct{} { return p.exited }

// Kill ends the daemon's process and waits for its end.
func (p *Daemon) Kill() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// IsReady reports whether the daemon answers a readiness check with 200.
func (p *Daemon) IsReady() bool {
	r := Request{Method: "GET", Path: "/lagoonmux/ready", Timeout: time.Second}.Send(p.Ready)
	return r.Err == nil && r.Status == 200
}

// WaitReady waits until the daemon is ready.
func (p *Daemon) WaitReady() {
	for range 200 {
		if p.IsReady() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	p.deploy.Fail(fmt.Errorf("%s is not ready after 10 s", p.Name))
}
