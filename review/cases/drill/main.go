//go:build review

// Command drill lets the store come back from a copy some seconds old while two of six machines
// leave in turn. Its argument is the store's era before.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/lagoonmux/lagoonmux/review/kit"
)

func main() {
	d := kit.New()
	d.ProxyStore = true
	if os.Args[1] == "0" {
		d.FirstEra = 0
	}
	d.Configure(kit.Config(7, kit.Route("look", "/look/", "idempotent", "desk", 1000, 2, false)))
	serve := func(a *kit.Arrival, w *bufio.Writer) bool { kit.WritePlain(w, a, "", "order 17: printed"); return true }
	for i := range 3 {
		d.StartRunner(fmt.Sprintf("i-d%d", i), "desk", fmt.Sprintf("sierra-%c", 'a'+i), serve)
	}
	d.StartDaemons(6)
	go func() {
		for n := 0; ; n++ {
			p := d.Daemons[n%6]
			go func() {
				id := kit.NewID(n%6 + 1)
				r := kit.Request{Method: "GET", Path: "/look/17", ID: id, Timeout: time.Second}.Send(p.Front)
				d.Log("the client of %s, sent to %s, gets %d, whole=%v", id, p.Name, r.Status, r.Err == nil)
			}()
			time.Sleep(30 * time.Millisecond)
		}
	}()
	holder := func() (*kit.Daemon, int64) {
		var row struct {
			Holder string `json:"holder"`
			Token  int64  `json:"token"`
		}
		_ = json.Unmarshal(d.Store.Value("duty", "fleet"), &row)
		for _, p := range d.Daemons {
			if p.Name == row.Holder {
				return p, row.Token
			}
		}
		return nil, 0
	}
	a, token := holder()
	for n := 0; a == nil; n++ {
		if n == 50 {
			d.Fail(errors.New("no machine took the duty within 5 s"))
		}
		time.Sleep(100 * time.Millisecond)
		a, token = holder()
	}
	time.Sleep(time.Second)
	d.Log("holder %s with token %d", a.Name, token)
	copied := time.Now()
	c := d.Store.Copy()
	time.Sleep(500 * time.Millisecond)
	a.Signal(syscall.SIGTERM) // it leaves for good
	time.Sleep(time.Until(copied.Add(7 * time.Second)))
	b, token := holder()
	d.Log("holder %s with token %d", b.Name, token)
	if d.Trouble {
		d.Log("the store is away")
		d.StoreAway.Store(true)
	}
	back := time.Now().Add(2 * time.Second)
	time.Sleep(500 * time.Millisecond)
	b.Signal(syscall.SIGTERM) // so does the next one
	time.Sleep(time.Until(back))
	if d.Trouble {
		d.Store.Restore(c)
		d.StoreAway.Store(false)
		d.Log("the store is back from a copy that was %.1f s old when it went away", back.Sub(copied).Seconds()-2)
	}
	time.Sleep(9 * time.Second)
	last, token := holder()
	d.Log("holder %s with token %d", last.Name, token)
	// The rule: two holders send the same fencing token for the same duty and subject.
	holders := make(map[string]string) // by subject and token
	verdict := ""
	for _, c := range d.Calls {
		key := c.Subject + " with token " + c.Token
		if other := holders[key]; other != "" && other != c.Holder {
			verdict = fmt.Sprintf("%s: %s and %s", key, other, c.Holder)
		}
		holders[key] = c.Holder
	}
	if verdict == "" {
		d.Exit(false, "each token had one holder; %d calls", len(d.Calls))
	}
	d.Exit(true, "two holders sent %s", verdict)
}
