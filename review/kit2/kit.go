//go:build review

// Package kit2 starts daemons of the deploy file on loopback addresses for the scripts of
// review/REPORT-2.md, and writes their records.
package kit2

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/standin/site"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Trouble reports whether the case is played with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record writes lines with the time since its start to a file and to standard output.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, start: time.Now()}, err
}

// Printf writes one line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

// Platform is the platform's side: the store, the cloud and the daemons.
type Platform struct {
	Dir     string // for settings and logs
	Store   *site.Store
	Cloud   *site.Cloud
	Daemons []*Daemon
	store   *site.Endpoint
	bounds  map[string]any
}

// Daemon is one process of the deploy file.
type Daemon struct {
	Name, Front, Ready, Control, Metrics string
	settings                             string
	log                                  *os.File
	cmd                                  *exec.Cmd
}

// FreeAddress returns a loopback address that is free at the moment.
func FreeAddress() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// NewPlatform starts the store and the cloud. bounds replaces single bounds of the sheet.
func NewPlatform(dir string, bounds map[string]any) (*Platform, error) {
	p := &Platform{Dir: dir, Store: site.NewStore(), bounds: bounds}
	var err error
	if p.store, err = p.Store.Listen(); err != nil {
		return nil, err
	}
	p.Cloud, err = site.StartCloud()
	return p, err
}

// AddDaemons writes the settings of n daemons, in three zones, and starts them.
func (p *Platform) AddDaemons(n int) error {
	var seeds []string
	for i := range n {
		d := &Daemon{Name: fmt.Sprintf("front-%c-%d", 'a'+i%3, i/3+1), Front: FreeAddress(), Ready: FreeAddress(), Control: FreeAddress(), Metrics: FreeAddress()}
		if len(seeds) < 3 {
			seeds = append(seeds, d.Control)
		}
		p.Daemons = append(p.Daemons, d)
	}
	for i, d := range p.Daemons {
		if err := p.writeSettings(d, fmt.Sprintf("zone-%c", 'a'+i%3), seeds); err != nil {
			return err
		}
		if err := d.Start(); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings writes the settings file as the platform fills in deploy/settings.tmpl.
func (p *Platform) writeSettings(d *Daemon, zone string, seeds []string) error {
	_, port, err := net.SplitHostPort(d.Metrics)
	if err != nil {
		return err
	}
	var metricsPort int
	if _, err := fmt.Sscan(port, &metricsPort); err != nil {
		return err
	}
	bounds := map[string]any{"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
		"lossSlackMs": 200, "configApplyMs": 2000, "revertSlackMs": 250, "maxStretchMs": 5000, "failClosed": false, "revokeMs": 5000,
		"retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 52, "quotaWindowS": 8, "quotaExcess": 0.1, "quotaSlack": 72000,
		"requireFence": true, "leaseMs": 3000, "thawMs": 300, "usageWindowS": 5, "usageTolerance": 0.05, "usageLateS": 10, "recoveryS": 12,
		"passMs": 120, "reuseWindowS": 7.3}
	for k, v := range p.bounds {
		bounds[k] = v
	}
	s := map[string]any{
		"nodeName": d.Name, "role": "daemon", "machineClass": "front", "serves": []string{"front", "control"},
		"ip": "127.0.0.1", "zone": zone, "region": "r", "zones": map[string]string{"zone-a": "r", "zone-b": "r", "zone-c": "r"},
		"listen":        map[string]string{"front": d.Front, "readyAddr": d.Ready, "control": d.Control},
		"internalPorts": []int{metricsPort, metricsPort}, "seeds": seeds, "bootstrap": true, "heartbeatMs": 1200,
		"limits":   map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4200, "linkMbps": 1000.0, "diskMb": 0},
		"bounds":   bounds,
		"platform": map[string]any{"address": p.store.Address, "form": "table", "writesPerS": 400, "readsPerS": 2000},
		"cloud":    map[string]any{"address": p.Cloud.Address, "ratePerS": 50.0, "duties": []string{"usage_report", "scaling"}, "dutyPerS": 50.0},
	}
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	d.settings = filepath.Join(p.Dir, d.Name+".json")
	return os.WriteFile(d.settings, data, 0o600)
}

// Start starts the process with the command of the deploy file.
func (d *Daemon) Start() error {
	if d.log == nil {
		var err error
		if d.log, err = os.Create(d.settings + ".log"); err != nil {
			return err
		}
	}
	d.cmd = exec.Command("target/lagoonmux", "platform")
	d.cmd.Env = []string{"LAGOONMUX_NODE_FILE=" + d.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return d.cmd.Start()
}

// Kill ends the process at once.
func (d *Daemon) Kill() {
	if d.cmd != nil && d.cmd.Process != nil {
		_ = d.cmd.Process.Kill()
		_ = d.cmd.Wait()
		d.cmd = nil
	}
}

// IsReady asks the daemon as the platform's entry does.
func (d *Daemon) IsReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + d.Ready + "/lagoonmux/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitReady waits until all daemons are ready.
func (p *Platform) WaitReady(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, d := range p.Daemons {
			if d.IsReady() {
				ready++
			}
		}
		if ready == len(p.Daemons) {
			return nil
		}
	}
	return fmt.Errorf("daemons are not ready after %v", within)
}

// Close ends all daemons and stand-ins.
func (p *Platform) Close() {
	for _, d := range p.Daemons {
		d.Kill()
	}
	p.store.Close()
	p.Cloud.Close()
}
